#pragma once

#include <shared_mutex>

namespace coltsfoottide::link {

// Runs callbacks until it is closed. Close() waits for running callbacks; later
// ones are dropped. Callbacks must not call Run() or Close().
class CallbackGate {
 public:
  template <typename Callback>
  void Run(Callback&& callback) {
    const std::shared_lock lock(mutex_);
    if (open_) callback();
  }

  void Close() {
    const std::unique_lock lock(mutex_);
    open_ = false;
  }

 private:
  std::shared_mutex mutex_;
  bool open_ = true;
};

}  // namespace coltsfoottide::link
