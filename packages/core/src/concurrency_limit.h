#pragma once

#include <cstdint>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// Adaptive limit on the concurrent tasks of a backend server, with additive
// increase and multiplicative decrease: a refusal halves it, successes raise it
// by one a second.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(std::uint32_t slots) : slots_(slots), limit_(slots) {}

  // Sets the slots that the backend server declares; they bound the limit.
  void SetSlots(std::uint32_t slots);

  // Reports a task that the backend server refused before its start. Of the
  // calls that were in flight together, only one refusal halves the limit.
  void OnRefusal(TimePoint sent, TimePoint now);

  // Reports a task that the backend server has run.
  void OnSuccess(TimePoint now);

  // Returns the limit; 0 for a short time after a refusal at limit 1.
  std::uint32_t Value(TimePoint now) const;

  // Returns when the limit of 0 after a refusal ends, or TimePoint::max().
  TimePoint NextChange(TimePoint now) const;

 private:
  std::uint32_t slots_;
  std::uint32_t limit_;
  // Refusals of calls sent at or before this time are ignored.
  TimePoint last_decrease_ = TimePoint::min();
  // Time of the last change of the limit.
  TimePoint last_change_ = TimePoint::min();
  TimePoint closed_until_ = TimePoint::min();
};

}  // namespace coltsfoottide::core
