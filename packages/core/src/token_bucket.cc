#include "token_bucket.h"

#include <algorithm>

namespace coltsfoottide::core {
namespace {

constexpr double kMicrosPerSecond = 1e6;
// Tokens are sums of rounded fractions, so Take allows for this many missing.
constexpr double kTolerance = 1e-6;

}  // namespace

void TokenBucket::SetRate(double per_second, double capacity, TimePoint now) {
  Refill(now);
  rate_ = per_second;
  capacity_ = capacity;
  tokens_ = std::min(tokens_, capacity_);
}

bool TokenBucket::Take(double count, TimePoint now) {
  Refill(now);
  if (capacity_ <= 0 || tokens_ + kTolerance < std::min(count, capacity_)) {
    return false;
  }
  tokens_ -= count;
  return true;
}

Duration TokenBucket::WaitFor(double count) const {
  const double missing = std::min(count, capacity_) - tokens_;
  if (missing <= 0) {
    return Duration{};
  }
  if (rate_ <= 0) {
    return Duration::max();
  }
  return Duration(static_cast<Duration::rep>(missing / rate_ * kMicrosPerSecond) + 1);
}

void TokenBucket::Refill(TimePoint now) {
  if (now <= updated_) {
    return;
  }
  const double seconds = static_cast<double>((now - updated_).count()) / kMicrosPerSecond;
  tokens_ = std::min(capacity_, tokens_ + rate_ * seconds);
  updated_ = now;
}

}  // namespace coltsfoottide::core
