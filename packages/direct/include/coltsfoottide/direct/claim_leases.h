#pragma once

#include <map>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// The leases of the jobs that an entry coordinates. A lease lasts for kClaimLease from when the
// latest claim that another entry has confirmed was sent. Does no I/O.
class ClaimLeases {
 public:
  // Begins the lease of the job, or extends it; `confirmed_at`: when the confirmed claim was sent.
  // A confirmation of an earlier claim shortens nothing.
  void Extend(const std::string& job, core::TimePoint confirmed_at);

  // The job is no longer coordinated here.
  void Remove(const std::string& job) { confirmed_at_.erase(job); }

  // Whether the job has a lease that will have ended at `time` unless it is extended.
  bool EndsBy(const std::string& job, core::TimePoint time) const;

  // Removes the leases that have ended, and returns their jobs. Cheap as long as none can have.
  std::vector<std::string> TakeExpired(core::TimePoint now);

 private:
  // By job.
  std::map<std::string, core::TimePoint> confirmed_at_;
  // No lease ends before.
  core::TimePoint check_due_ = core::TimePoint::max();
};

}  // namespace coltsfoottide::direct
