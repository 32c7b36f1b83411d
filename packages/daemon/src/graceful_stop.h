#pragma once

#include <QTimer>
#include <chrono>
#include <functional>

namespace coltsfoottide::daemon {

// Waits, on the Qt thread, until a process that has been told to stop has
// nothing left to do, or the time for that is nearly over.
class GracefulStop {
 public:
  struct Plan {
    // Waits at least so long.
    std::chrono::milliseconds least{0};
    // The process has ended by then.
    std::chrono::milliseconds limit{0};
    std::function<bool()> idle;
    std::function<void()> on_end;
  };

  // Must be called once.
  void Begin(Plan plan);

 private:
  void Poll();

  Plan plan_;
  QTimer timer_;
  std::chrono::milliseconds waited_{0};
};

}  // namespace coltsfoottide::daemon
