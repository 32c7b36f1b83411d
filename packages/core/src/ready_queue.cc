#include "ready_queue.h"

#include <algorithm>

namespace coltsfoottide::core {
namespace {

std::optional<ReadyQueue::Item> NextIn(const std::set<ReadyQueue::Item>& items,
                                       const std::optional<ReadyQueue::Item>& after) {
  const auto it = after ? items.upper_bound(*after) : items.begin();
  return it == items.end() ? std::nullopt : std::optional(*it);
}

}  // namespace

void ReadyQueue::Add(const QueueKey& queue, const Item& item) {
  queues_[queue].unreserved.insert(item);
}

void ReadyQueue::Remove(const QueueKey& queue, const Item& item) {
  const auto it = queues_.find(queue);
  if (it == queues_.end()) {
    return;
  }
  it->second.unreserved.erase(item);
  it->second.reserved.erase(item);
  if (it->second.unreserved.empty() && it->second.reserved.empty()) {
    queues_.erase(it);
  }
}

void ReadyQueue::SetReserved(const QueueKey& queue, const Item& item, bool reserved) {
  const auto it = queues_.find(queue);
  if (it == queues_.end()) {
    return;
  }
  auto& from = reserved ? it->second.unreserved : it->second.reserved;
  auto& to = reserved ? it->second.reserved : it->second.unreserved;
  if (from.erase(item) > 0) {
    to.insert(item);
  }
}

std::optional<ReadyQueue::Item> ReadyQueue::Next(const QueueKey& queue,
                                                 const std::optional<Item>& after) const {
  const TaskSets* tasks = Find(queue);
  if (tasks == nullptr) {
    return std::nullopt;
  }
  const auto a = NextIn(tasks->unreserved, after);
  const auto b = NextIn(tasks->reserved, after);
  return a && b ? std::min(a, b) : (a ? a : b);
}

std::optional<ReadyQueue::Item> ReadyQueue::NextUnreserved(const QueueKey& queue,
                                                           const std::optional<Item>& after) const {
  const TaskSets* tasks = Find(queue);
  return tasks == nullptr ? std::nullopt : NextIn(tasks->unreserved, after);
}

std::size_t ReadyQueue::ReservedCount(const QueueKey& queue) const {
  const TaskSets* tasks = Find(queue);
  return tasks == nullptr ? 0 : tasks->reserved.size();
}

bool ReadyQueue::Empty(const QueueKey& queue) const { return Find(queue) == nullptr; }

std::vector<std::string> ReadyQueue::Services() const {
  std::vector<std::string> services;
  for (const auto& [queue, tasks] : queues_) {
    if (services.empty() || services.back() != queue.service) {
      services.push_back(queue.service);
    }
  }
  return services;
}

const ReadyQueue::TaskSets* ReadyQueue::Find(const QueueKey& queue) const {
  const auto it = queues_.find(queue);
  return it == queues_.end() ? nullptr : &it->second;
}

}  // namespace coltsfoottide::core
