#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::daemon {

// The thread that owns a daemon's decisions. Other threads post work to it;
// between work it calls the timer when that is due.
class Engine {
 public:
  using Task = std::function<void(core::TimePoint now)>;

  // `tick` runs when `next_wake` is reached, and after each batch of work.
  // Both are called on the engine's thread.
  Engine(Task tick, std::function<core::TimePoint()> next_wake);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  void Start();

  // Queues work; safe from any thread. Work posted after Stop is dropped.
  void Post(Task task);

  // Ends the thread after the work in progress.
  void Stop();

 private:
  void Run();
  std::vector<Task> TakeWork(core::TimePoint until);

  Task tick_;
  std::function<core::TimePoint()> next_wake_;
  std::mutex mutex_;
  std::condition_variable ready_;
  std::vector<Task> work_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace coltsfoottide::daemon
