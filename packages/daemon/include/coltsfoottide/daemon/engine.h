#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::daemon {

// The event loop of a daemon's dispatch logic, on a thread of its own. Other
// threads post work to it; timers run in `tick`.
class Engine {
 public:
  using Task = std::function<void(core::TimePoint now)>;

  // `tick` runs after each batch of work, and at the time that `next_wake`
  // returns. Both are called on the engine's thread.
  Engine(Task tick, std::function<core::TimePoint()> next_wake);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  void Start();

  // Queues work; safe from any thread. Work posted after Stop is dropped.
  void Post(Task task);

  // Ends the thread after the current batch of work and a last tick.
  void Stop();

 private:
  void Run();
  // Waits for work, at most until the given time, and returns it.
  std::vector<Task> TakeWork(core::TimePoint until);

  Task tick_;
  std::function<core::TimePoint()> next_wake_;
  std::mutex mutex_;
  std::condition_variable work_posted_;
  std::vector<Task> work_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace coltsfoottide::daemon
