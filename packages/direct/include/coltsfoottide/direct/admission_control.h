#pragma once

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Bounds the queueing delay up to which an entry admits jobs under sustained
// overload. All kinds of jobs share the queues of the backend servers, so a
// standing queue that long jobs can afford makes every short one late. The bound
// therefore follows the smallest slack among the latest jobs, and it applies to
// all kinds alike.
class AdmissionControl {
 public:
  // Records a submitted job. `slack` is how long it can wait and still end at
  // its objective; negative if it cannot.
  void OnSubmit(core::Duration slack, core::TimePoint now);

  // Longest expected queueing delay at which a job is admitted.
  core::Duration LongestDelay() const;

 private:
  // Smallest slack of the jobs submitted in the present and the last interval.
  core::Duration present_min_ = core::Duration::max();
  core::Duration last_min_ = core::Duration::max();
  core::TimePoint interval_end_;
};

}  // namespace coltsfoottide::direct
