#pragma once

#include <functional>
#include <memory>

namespace coltsfoottide::daemon {

// Calls a function on the Qt thread when SIGTERM or SIGINT arrives, and
// another one for SIGHUP.
class StopSignal {
 public:
  virtual ~StopSignal() = default;
};

// Blocks the signals for the calling thread and those it starts later. Must
// be made before other threads and on a thread with a Qt event loop.
std::unique_ptr<StopSignal> MakeStopSignal(std::function<void()> on_stop,
                                           std::function<void()> on_reload);

}  // namespace coltsfoottide::daemon
