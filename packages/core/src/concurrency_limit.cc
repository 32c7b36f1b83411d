#include "concurrency_limit.h"

#include <algorithm>

namespace coltsfoottide::core {
namespace {

constexpr Duration kIncreaseInterval = std::chrono::seconds(1);
// Time for which the limit is 0 after a refusal at limit 1. Without it, a
// backend server that refuses even a single task would be sent a new start
// each round trip.
constexpr Duration kClosedDuration = std::chrono::milliseconds(250);

}  // namespace

void ConcurrencyLimit::SetSlots(std::uint32_t slots) {
  // A limit that no refusal has reduced, or that has risen back to the declared
  // slots, follows them.
  limit_ = limit_ == slots_ ? slots : std::min(limit_, slots);
  if (slots > 0) {
    limit_ = std::max<std::uint32_t>(limit_, 1);
  }
  slots_ = slots;
}

void ConcurrencyLimit::OnRefusal(TimePoint sent, TimePoint now) {
  if (sent <= last_decrease_) {
    return;
  }
  if (limit_ <= 1) {
    closed_until_ = now + kClosedDuration;
  }
  limit_ = std::max<std::uint32_t>(limit_ / 2, std::min<std::uint32_t>(slots_, 1));
  last_decrease_ = now;
  last_change_ = now;
}

void ConcurrencyLimit::OnSuccess(TimePoint now) {
  if (limit_ < slots_ && now >= last_change_ + kIncreaseInterval) {
    ++limit_;
    last_change_ = now;
  }
}

std::uint32_t ConcurrencyLimit::Value(TimePoint now) const {
  return now < closed_until_ ? 0 : limit_;
}

TimePoint ConcurrencyLimit::NextChange(TimePoint now) const {
  return now < closed_until_ ? closed_until_ : TimePoint::max();
}

}  // namespace coltsfoottide::core
