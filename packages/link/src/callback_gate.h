#pragma once

#include <shared_mutex>

namespace coltsfoottide::link {

// Lets callbacks run until it is closed, and waits for running ones on
// closing. Callbacks must not nest and must not close the gate.
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
