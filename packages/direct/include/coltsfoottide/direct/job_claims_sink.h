#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

struct ClaimRelease;
struct JobClaim;
struct JobOutcome;
struct JobRequest;
struct RivalClaim;

// Carries out the decisions of an entry's JobClaims. `entry` may be this entry itself, whose
// ClaimRegistry may answer from within the call.
class JobClaimsSink {
 public:
  virtual ~JobClaimsSink() = default;

  virtual void SendClaim(const std::string& entry, const JobClaim& claim) = 0;
  virtual void SendRelease(const std::string& entry, const ClaimRelease& release) = 0;
  // `jobs`: see JobClaims::TakeBegunJobs. Sent at once, without a stamp.
  virtual void SendBegunJobs(const std::string& entry, const std::vector<std::uint32_t>& jobs) = 0;

  // This entry coordinates the job from now on.
  virtual void OnGranted(JobRequest request, core::TimePoint now) = 0;
  // The claim has ended without this entry having coordinated the job: the outcome of the
  // entry that has, or that the caller's deadline has passed.
  virtual void OnOutcome(const std::string& job, const JobOutcome& outcome) = 0;
  // Another entry coordinates the job now. Must end all its runs here, and release the claim
  // then.
  virtual void OnClaimLost(const std::string& job, const std::string& holder,
                           core::TimePoint now) = 0;
  // No other entry has confirmed the claim of the job for so long that another one may coordinate
  // it soon. Must end all its runs here, and release the claim then.
  virtual void OnClaimExpired(const std::string& job, core::TimePoint now) = 0;
  // The caller of a job that this entry coordinates waits at another entry.
  virtual void OnAwaitedElsewhere(const RivalClaim& message, core::TimePoint now) = 0;

  // For logs: another entry coordinates the job that is claimed.
  virtual void OnTakenElsewhere(const std::string& job, const std::string& holder) = 0;
  // For logs: the entry has not answered a claim in time.
  virtual void OnUnanswered(const std::string& entry) = 0;
};

}  // namespace coltsfoottide::direct
