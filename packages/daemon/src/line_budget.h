#pragma once

#include <chrono>
#include <cstdint>

namespace coltsfoottide::daemon {

// Bounds the lines of a log in each second. Warnings and errors have a share
// of their own, so that many successes cannot hide a failure.
class LineBudget {
 public:
  using Clock = std::chrono::steady_clock;

  struct Limits {
    std::uint32_t ordinary = 0;
    std::uint32_t important = 0;
  };

  // Lines a second.
  explicit LineBudget(Limits limits) : limits_(limits) {}

  // Whether one more line may be written.
  bool Take(bool important, Clock::time_point now);

  // Counts a line that could not be written although the budget allowed it.
  void CountLost() { ++left_out_; }

  // Returns the number of lines left out so far, and begins anew.
  std::uint64_t TakeLeftOut();

 private:
  Limits limits_;
  Limits left_;
  Clock::time_point second_;
  std::uint64_t left_out_ = 0;
};

}  // namespace coltsfoottide::daemon
