#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// One deadline for each key, in order of time.
template <typename Key>
class DeadlineSet {
 public:
  // Sets the key's deadline; replaces an earlier one.
  void Set(const Key& key, TimePoint time) {
    Erase(key);
    times_.emplace(key, time);
    order_.emplace(time, key);
  }

  void Erase(const Key& key) {
    const auto it = times_.find(key);
    if (it != times_.end()) {
      order_.erase({it->second, key});
      times_.erase(it);
    }
  }

  // Removes and returns the keys whose deadline is at or before `now`.
  std::vector<Key> TakeDue(TimePoint now) {
    std::vector<Key> due;
    while (!order_.empty() && order_.begin()->first <= now) {
      due.push_back(order_.begin()->second);
      Erase(due.back());
    }
    return due;
  }

  // Returns the earliest deadline, or TimePoint::max().
  TimePoint Earliest() const { return order_.empty() ? TimePoint::max() : order_.begin()->first; }

 private:
  std::map<Key, TimePoint> times_;
  std::set<std::pair<TimePoint, Key>> order_;
};

}  // namespace coltsfoottide::core
