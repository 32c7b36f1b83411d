#include "log_rate_limiter.h"

#include <utility>

namespace coltsfoottide::daemon {

bool LogRateLimiter::TryTake(bool important, Clock::time_point now) {
  if (window_start_ == Clock::time_point() || now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    remaining_ = limits_;
  }
  std::uint32_t& remaining = important ? remaining_.important : remaining_.ordinary;
  if (remaining == 0) {
    ++dropped_;
    return false;
  }
  --remaining;
  return true;
}

std::uint64_t LogRateLimiter::TakeDropped() { return std::exchange(dropped_, 0); }

}  // namespace coltsfoottide::daemon
