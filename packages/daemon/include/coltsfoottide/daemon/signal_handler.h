#pragma once

#include <functional>
#include <memory>

namespace coltsfoottide::daemon {

// Handles the process's signals while it exists: calls one function on the Qt
// thread for SIGTERM and SIGINT, and another one for SIGHUP.
class SignalHandler {
 public:
  virtual ~SignalHandler() = default;
};

// Blocks the signals for the calling thread and the threads it starts later, so
// it must be called before other threads start, and on a thread with a Qt event
// loop.
std::unique_ptr<SignalHandler> MakeSignalHandler(std::function<void()> on_stop,
                                                 std::function<void()> on_reload);

}  // namespace coltsfoottide::daemon
