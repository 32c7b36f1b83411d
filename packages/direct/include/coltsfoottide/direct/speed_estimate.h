#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// How long the latest ended runs of one backend server took relative to their
// estimates. The median is used, so single runs that take many times their
// estimate hardly change it.
class SpeedEstimate {
 public:
  // A run has ended successfully.
  void OnEnded(core::Duration elapsed, core::Duration estimate, core::TimePoint now);
  // Discards all samples when a new incarnation of the backend server starts.
  void Reset() { samples_.clear(); }

  // Median ratio of run time to estimate, or nothing while too few runs have
  // ended lately.
  std::optional<double> Ratio(core::TimePoint now) const;

  // Ratios of at most `n` runs that have ended since `since`, latest first.
  std::vector<double> Latest(std::size_t n, core::TimePoint since) const;

 private:
  struct Sample {
    core::TimePoint time;
    double ratio = 0;
  };

  // Oldest first.
  std::deque<Sample> samples_;
};

}  // namespace coltsfoottide::direct
