#pragma once

#include <functional>
#include <map>
#include <utility>

#include "coltsfoottide/core/time.h"
#include "direct_samples.h"

namespace coltsfoottide::direct {

// Events of a simulation in order of their time.
class EventQueue {
 public:
  core::TimePoint now() const { return now_; }

  void After(core::Duration delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }

  // Carries out the events up to `until`, also those that they add.
  void RunUntil(core::TimePoint until) {
    while (!events_.empty() && events_.begin()->first <= until) {
      auto node = events_.extract(events_.begin());
      now_ = node.key();
      node.mapped()();
    }
    now_ = until;
  }

 private:
  core::TimePoint now_ = kStart;
  std::multimap<core::TimePoint, std::function<void()>> events_;
};

}  // namespace coltsfoottide::direct
