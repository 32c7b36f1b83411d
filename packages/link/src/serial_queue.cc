#include "serial_queue.h"

#include <limits>
#include <utility>

namespace coltsfoottide::link {

SerialQueue::SerialQueue(std::chrono::milliseconds period, Task tick)
    : period_(period), tick_(std::move(tick)), thread_([this] { Run(); }) {}

SerialQueue::~SerialQueue() { Stop(); }

bool SerialQueue::Post(Task task, std::size_t limit) {
  {
    const std::lock_guard lock(mutex_);
    if (stopping_ || tasks_.size() >= limit) return false;
    tasks_.push_back(std::move(task));
  }
  wake_.notify_one();
  return true;
}

void SerialQueue::Post(Task task) {
  Post(std::move(task), std::numeric_limits<std::size_t>::max());
}

void SerialQueue::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  if (thread_.joinable()) thread_.join();
}

void SerialQueue::Run() {
  auto next_tick = std::chrono::steady_clock::now() + period_;
  std::unique_lock lock(mutex_);
  while (!stopping_ || !tasks_.empty()) {
    const auto ready = [this] { return stopping_ || !tasks_.empty(); };
    if (tick_) {
      wake_.wait_until(lock, next_tick, ready);
    } else {
      wake_.wait(lock, ready);
    }
    if (!tasks_.empty()) {
      const Task task = std::move(tasks_.front());
      tasks_.pop_front();
      lock.unlock();
      task();
      lock.lock();
    }
    const auto now = std::chrono::steady_clock::now();
    if (tick_ && now >= next_tick) {
      next_tick = now + period_;
      lock.unlock();
      tick_();
      lock.lock();
    }
  }
}

}  // namespace coltsfoottide::link
