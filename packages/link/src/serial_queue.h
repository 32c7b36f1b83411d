#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace coltsfoottide::link {

// A thread that runs tasks in order.
class SerialQueue {
 public:
  using Task = std::function<void()>;

  // `tick` runs on the thread at least every `period`, between tasks; a null
  // tick never runs.
  SerialQueue(std::chrono::milliseconds period, Task tick);
  ~SerialQueue();

  // Queues a task; false when `limit` tasks wait or the queue has stopped.
  bool Post(Task task, std::size_t limit);
  void Post(Task task);

  // Runs what is queued and ends the thread. Must not be called from a task.
  void Stop();

 private:
  void Run();

  const std::chrono::milliseconds period_;
  const Task tick_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Task> tasks_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace coltsfoottide::link
