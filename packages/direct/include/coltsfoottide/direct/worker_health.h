#pragma once

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Smoothed slowness and failure ratio of one backend server. Both decay towards
// normal over time, except a slowness below 1, so that an avoided backend
// server is tried again.
class WorkerHealth {
 public:
  // A run took `elapsed` for the share `done_share` of its estimated work.
  // `weight` is the share of this sample in the average.
  void OnSpeed(core::Duration elapsed, core::Duration estimate, double done_share, double weight);
  void OnSuccess();
  void OnFailure();
  void Advance(core::TimePoint now);
  // Discards all samples when a new incarnation of the backend server starts.
  void Reset();

  double slowness() const { return slowness_; }
  double failure_ratio() const { return failure_ratio_; }

 private:
  double slowness_ = 1.0;
  double failure_ratio_ = 0.0;
  core::TimePoint last_decay_;
};

}  // namespace coltsfoottide::direct
