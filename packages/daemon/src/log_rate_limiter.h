#pragma once

#include <chrono>
#include <cstdint>

namespace coltsfoottide::daemon {

// Limits the lines of a log per second. Warnings and errors have a limit of
// their own, so that many successes cannot displace a failure.
class LogRateLimiter {
 public:
  using Clock = std::chrono::steady_clock;

  struct Limits {
    std::uint32_t ordinary = 0;
    // Warnings and errors.
    std::uint32_t important = 0;
  };

  // `limits` are lines per second.
  explicit LogRateLimiter(Limits limits) : limits_(limits) {}

  // Takes one line from the budget; returns false, and counts the line as
  // dropped, when none is left.
  bool TryTake(bool important, Clock::time_point now);

  // Counts a line that was dropped although the budget allowed it.
  void CountDropped() { ++dropped_; }

  // Returns the number of lines dropped since the last call.
  std::uint64_t TakeDropped();

 private:
  Limits limits_;
  Limits remaining_;
  Clock::time_point window_start_;
  std::uint64_t dropped_ = 0;
};

}  // namespace coltsfoottide::daemon
