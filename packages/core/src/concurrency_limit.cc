#include "concurrency_limit.h"

#include <algorithm>

namespace coltsfoottide::core {
namespace {

constexpr Duration kRaiseInterval = std::chrono::seconds(1);
// A backend server that refuses even a single task would otherwise be sent
// refused starts at the rate of the round trip.
constexpr Duration kClosedTime = std::chrono::milliseconds(250);

}  // namespace

void ConcurrencyLimit::SetSlots(std::uint32_t slots) {
  // A limit that was not reduced follows the slots up.
  limit_ = limit_ == slots_ ? slots : std::min(limit_, slots);
  if (slots > 0) {
    limit_ = std::max<std::uint32_t>(limit_, 1);
  }
  slots_ = slots;
}

void ConcurrencyLimit::OnRefusal(TimePoint sent, TimePoint now) {
  if (sent <= halved_) {
    return;
  }
  if (limit_ <= 1) {
    closed_until_ = now + kClosedTime;
  }
  limit_ = std::max<std::uint32_t>(limit_ / 2, std::min<std::uint32_t>(slots_, 1));
  halved_ = now;
  raised_ = now;
}

void ConcurrencyLimit::OnSuccess(TimePoint now) {
  if (limit_ < slots_ && now >= raised_ + kRaiseInterval) {
    ++limit_;
    raised_ = now;
  }
}

std::uint32_t ConcurrencyLimit::Value(TimePoint now) const {
  return now < closed_until_ ? 0 : limit_;
}

TimePoint ConcurrencyLimit::NextChange(TimePoint now) const {
  return now < closed_until_ ? closed_until_ : TimePoint::max();
}

}  // namespace coltsfoottide::core
