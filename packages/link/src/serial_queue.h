#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace coltsfoottide::link {

// Runs tasks one after the other on a thread of its own.
class SerialQueue {
 public:
  using Task = std::function<void()>;

  // `tick` runs on the thread every `period`, between tasks, or later if a task
  // takes longer. A null tick never runs.
  SerialQueue(std::chrono::milliseconds period, Task tick);
  ~SerialQueue();

  // Queues a task; returns false when `limit` tasks wait or the queue has
  // stopped.
  bool Post(Task task, std::size_t limit);
  void Post(Task task);

  // Runs the queued tasks and ends the thread. Must not be called from a task.
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
