#include "coltsfoottide/direct/dial_backoff.h"

#include <algorithm>
#include <chrono>

namespace coltsfoottide::direct {

namespace {

// A refused attempt costs a packet in each direction, which a machine can answer
// thousands of times a second without its process.
constexpr core::Duration kFirstInterval = std::chrono::milliseconds(50);
// Several round trips between data centres of a region.
constexpr core::Duration kEarlyAttemptLimit = std::chrono::milliseconds(75);
constexpr core::Duration kAttemptLimit = std::chrono::milliseconds(200);
// Keeps the shift below from overflowing.
constexpr int kMaxDoublings = 10;

}  // namespace

void DialBackoff::OnAttempt(core::TimePoint now) {
  ++attempts_;
  const int doublings = std::clamp(attempts_ - kEarlyAttempts, 0, kMaxDoublings);
  due_ = now + std::min(kFirstInterval * (1 << doublings), max_interval_);
}

core::Duration DialBackoff::AttemptLimit() const {
  return IsEarly() ? kEarlyAttemptLimit : kAttemptLimit;
}

void DialBackoff::OnConnected() {
  attempts_ = 0;
  due_ = {};
}

}  // namespace coltsfoottide::direct
