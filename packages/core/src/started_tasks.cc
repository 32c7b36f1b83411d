#include "started_tasks.h"

#include <utility>
#include <vector>

namespace coltsfoottide::core {
namespace {

// Bytes counted for each stored result in addition to its text, so that the
// number of empty results is bounded as well.
constexpr std::size_t kResultOverheadBytes = 256;
// A forgotten task takes about 100 bytes; a worker finishes tens of tasks a
// second.
constexpr std::size_t kMaxForgotten = 1024;

}  // namespace

StartedTasks::Task& StartedTasks::AddRunning(const wire::Start& start, const std::string& endpoint,
                                             TimePoint now) {
  const StartKey key = StartKey::From(start.task());
  Task& task = tasks_[key];
  task.id = start.task();
  task.endpoint = endpoint;
  task.link_sequence = start.link_sequence();
  task.job_class = start.job_class();
  task.started = now;
  by_coordinator_[key.coordinator].insert(key);
  ++running_;
  running_bulk_ += task.job_class == api::BULK ? 1 : 0;
  return task;
}

StartedTasks::Task* StartedTasks::Find(const StartKey& key) {
  const auto it = tasks_.find(key);
  return it == tasks_.end() ? nullptr : &it->second;
}

void StartedTasks::Finish(Task& task, wire::Result result, TimePoint now) {
  EndRunning(task);
  task.finished = true;
  task.finish_time = now;
  task.has_result = true;
  task.bytes = result.output().size() + result.error().size() + kResultOverheadBytes;
  task.result = std::move(result);
  task.order = next_order_++;
  bytes_ += task.bytes;
  by_age_[task.order] = StartKey::From(task.id);
  while (bytes_ > max_bytes_) {
    DropOldestResult();
  }
}

void StartedTasks::RemoveRunning(const StartKey& key) {
  const Task* task = Find(key);
  if (task != nullptr && !task->finished) {
    EndRunning(*task);
    Erase(key);
  }
}

void StartedTasks::Acknowledge(const StartKey& key) {
  Task* task = Find(key);
  if (task == nullptr || !task->finished) {
    return;
  }
  DropResult(*task);
  Erase(key);
  if (forgotten_.insert(key).second) {
    forgotten_order_.push_back(key);
  }
  if (forgotten_order_.size() > kMaxForgotten) {
    forgotten_.erase(forgotten_order_.front());
    forgotten_order_.pop_front();
  }
}

void StartedTasks::DropResultsBefore(TimePoint limit) {
  while (OldestResult() <= limit) {
    DropOldestResult();
  }
}

void StartedTasks::ForgetCoordinator(std::uint64_t coordinator) {
  const auto it = by_coordinator_.find(coordinator);
  if (it == by_coordinator_.end()) {
    return;
  }
  const std::vector<StartKey> keys(it->second.begin(), it->second.end());
  for (const StartKey& key : keys) {
    Find(key)->coordinator_forgotten = true;
    Acknowledge(key);
  }
}

std::size_t StartedTasks::TaskCount(std::uint64_t coordinator) const {
  const auto it = by_coordinator_.find(coordinator);
  return it == by_coordinator_.end() ? 0 : it->second.size();
}

TimePoint StartedTasks::OldestResult() const {
  return by_age_.empty() ? TimePoint::max()
                         : tasks_.find(by_age_.begin()->second)->second.finish_time;
}

void StartedTasks::DropOldestResult() {
  const StartKey key = by_age_.begin()->second;
  Task& task = *Find(key);
  DropResult(task);
  if (task.coordinator_forgotten) {
    Erase(key);
  }
}

void StartedTasks::DropResult(Task& task) {
  if (!task.has_result) {
    return;
  }
  by_age_.erase(task.order);
  bytes_ -= task.bytes;
  task.has_result = false;
  task.result.Clear();
}

void StartedTasks::EndRunning(const Task& task) {
  --running_;
  running_bulk_ -= task.job_class == api::BULK ? 1 : 0;
}

void StartedTasks::Erase(const StartKey& key) {
  const auto it = by_coordinator_.find(key.coordinator);
  it->second.erase(key);
  if (it->second.empty()) {
    by_coordinator_.erase(it);
  }
  tasks_.erase(key);
}

}  // namespace coltsfoottide::core
