#pragma once

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Speed and failures of one backend server, smoothed. Without new samples
// both go back to normal, so that an avoided backend server is tried again.
class WorkerHealth {
 public:
  // A run took `elapsed` for the share of the estimated work that is done.
  void OnSpeed(core::Duration elapsed, core::Duration estimate, double done_share, double weight);
  void OnSuccess();
  void OnFailure();
  void Advance(core::TimePoint now);
  // A new life of the backend server begins unknown.
  void Reset();

  double slowness() const { return slowness_; }
  double failure_ratio() const { return failure_ratio_; }

 private:
  double slowness_ = 1.0;
  double failure_ratio_ = 0.0;
  core::TimePoint last_decay_;
};

}  // namespace coltsfoottide::direct
