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

void ReadyQueue::Add(const Lane& lane, const Item& item) { lanes_[lane].unreserved.insert(item); }

void ReadyQueue::Remove(const Lane& lane, const Item& item) {
  const auto it = lanes_.find(lane);
  if (it == lanes_.end()) {
    return;
  }
  it->second.unreserved.erase(item);
  it->second.reserved.erase(item);
  if (it->second.unreserved.empty() && it->second.reserved.empty()) {
    lanes_.erase(it);
  }
}

void ReadyQueue::SetReserved(const Lane& lane, const Item& item, bool reserved) {
  const auto it = lanes_.find(lane);
  if (it == lanes_.end()) {
    return;
  }
  auto& from = reserved ? it->second.unreserved : it->second.reserved;
  auto& to = reserved ? it->second.reserved : it->second.unreserved;
  if (from.erase(item) > 0) {
    to.insert(item);
  }
}

std::optional<ReadyQueue::Item> ReadyQueue::Next(const Lane& lane,
                                                 const std::optional<Item>& after) const {
  const Waiting* waiting = Find(lane);
  if (waiting == nullptr) {
    return std::nullopt;
  }
  const auto a = NextIn(waiting->unreserved, after);
  const auto b = NextIn(waiting->reserved, after);
  return a && b ? std::min(a, b) : (a ? a : b);
}

std::optional<ReadyQueue::Item> ReadyQueue::NextUnreserved(const Lane& lane,
                                                           const std::optional<Item>& after) const {
  const Waiting* waiting = Find(lane);
  return waiting == nullptr ? std::nullopt : NextIn(waiting->unreserved, after);
}

std::size_t ReadyQueue::ReservedCount(const Lane& lane) const {
  const Waiting* waiting = Find(lane);
  return waiting == nullptr ? 0 : waiting->reserved.size();
}

bool ReadyQueue::Empty(const Lane& lane) const { return Find(lane) == nullptr; }

std::vector<std::string> ReadyQueue::Services() const {
  std::vector<std::string> services;
  for (const auto& [lane, waiting] : lanes_) {
    if (services.empty() || services.back() != lane.service) {
      services.push_back(lane.service);
    }
  }
  return services;
}

const ReadyQueue::Waiting* ReadyQueue::Find(const Lane& lane) const {
  const auto it = lanes_.find(lane);
  return it == lanes_.end() ? nullptr : &it->second;
}

}  // namespace coltsfoottide::core
