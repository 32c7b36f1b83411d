#pragma once

#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {
struct JobOutcome;
struct JobRequest;
}  // namespace coltsfoottide::direct

namespace coltsfoottide::daemon {

// Receives the decisions of an entry's ClaimExchange on the jobs that it has claimed.
class ClaimExchangeListener {
 public:
  virtual ~ClaimExchangeListener() = default;

  // This entry coordinates the job from now on.
  virtual void OnClaimGranted(direct::JobRequest request, core::TimePoint now) = 0;
  // The claim has ended without this entry having coordinated the job.
  virtual void OnClaimEnded(const std::string& job, const direct::JobOutcome& outcome) = 0;
  // Another entry, `holder`, coordinates the job now. Must end all its runs here, and release the
  // claim then.
  virtual void OnClaimLost(const std::string& job, const std::string& holder,
                           core::TimePoint now) = 0;
  // No other entry has confirmed the claim of the job lately. Must end all its runs here, and
  // release the claim then.
  virtual void OnClaimExpired(const std::string& job, core::TimePoint now) = 0;
  // The caller of a job that this entry coordinates waits at another entry until `deadline`.
  virtual void OnAwaitedElsewhere(const std::string& job, const std::string& entry,
                                  core::TimePoint deadline, core::TimePoint now) = 0;
};

}  // namespace coltsfoottide::daemon
