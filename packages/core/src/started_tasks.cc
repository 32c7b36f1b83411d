#include "started_tasks.h"

#include <utility>
#include <vector>

namespace coltsfoottide::core {
namespace {

// Bytes counted for each stored result in addition to its text, so that the
// number of empty results is bounded as well.
constexpr std::size_t kResultOverheadBytes = 256;
// Bounds the removed tasks that are recorded: about 100 bytes each. A worker
// finishes tens of tasks a second, so they cover the last tens of seconds.
constexpr std::size_t kMaxRemoved = 1024;

}  // namespace

StartedTasks::Task& StartedTasks::AddRunning(const wire::Start& start, const std::string& endpoint,
                                             TimePoint now) {
  const GlobalTaskKey key = GlobalTaskKey::From(start.task());
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

StartedTasks::Task* StartedTasks::Find(const GlobalTaskKey& key) {
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
  by_age_[task.order] = GlobalTaskKey::From(task.id);
  while (bytes_ > max_bytes_) {
    DropOldestResult();
  }
}

void StartedTasks::RemoveRunning(const GlobalTaskKey& key) {
  const Task* task = Find(key);
  if (task != nullptr && !task->finished) {
    EndRunning(*task);
    Erase(key);
  }
}

void StartedTasks::Acknowledge(const GlobalTaskKey& key) {
  Task* task = Find(key);
  if (task == nullptr || !task->finished) {
    return;
  }
  DropResult(*task);
  Erase(key);
  if (removed_.insert(key).second) {
    removed_order_.push_back(key);
  }
  if (removed_order_.size() > kMaxRemoved) {
    removed_.erase(removed_order_.front());
    removed_order_.pop_front();
  }
}

void StartedTasks::DropResultsBefore(TimePoint limit) {
  while (OldestResult() <= limit) {
    DropOldestResult();
  }
}

void StartedTasks::RemoveCoordinator(std::uint64_t coordinator) {
  const auto it = by_coordinator_.find(coordinator);
  if (it == by_coordinator_.end()) {
    return;
  }
  const std::vector<GlobalTaskKey> keys(it->second.begin(), it->second.end());
  for (const GlobalTaskKey& key : keys) {
    Find(key)->coordinator_removed = true;
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
  const GlobalTaskKey key = by_age_.begin()->second;
  Task& task = *Find(key);
  DropResult(task);
  if (task.coordinator_removed) {
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

void StartedTasks::Erase(const GlobalTaskKey& key) {
  const auto it = by_coordinator_.find(key.coordinator);
  it->second.erase(key);
  if (it->second.empty()) {
    by_coordinator_.erase(it);
  }
  tasks_.erase(key);
}

}  // namespace coltsfoottide::core
