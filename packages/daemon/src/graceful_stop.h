#pragma once

#include <QTimer>
#include <chrono>
#include <functional>

namespace coltsfoottide::daemon {

// Polls, on the Qt thread, until a stopping process is idle or its time limit
// is nearly reached, and then calls `on_end`.
class GracefulStop {
 public:
  struct Plan {
    // Shortest wait, even if the process is idle.
    std::chrono::milliseconds min_time{0};
    // The process has to exit within this time.
    std::chrono::milliseconds limit{0};
    std::function<bool()> idle;
    std::function<void()> on_end;
  };

  // Must be called only once.
  void Begin(Plan plan);

 private:
  void Poll();

  Plan plan_;
  QTimer timer_;
  std::chrono::milliseconds waited_{0};
};

}  // namespace coltsfoottide::daemon
