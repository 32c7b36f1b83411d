#pragma once

#include <cstdint>
#include <string>

#include "coltsfoottide/direct/job_outcome.h"

namespace coltsfoottide::direct {

// The answer to a JobClaim.
struct ClaimVerdict {
  enum class Kind {
    // The claimant is recorded as the coordinator.
    kGranted,
    // Another entry is. If the claimant does not coordinate the job itself, further verdicts
    // follow once the other one has ended the job or is gone.
    kHeld,
    // The job has ended; `outcome` is the answer to all submissions.
    kEnded,
  };

  std::string job;
  // Of the claim.
  std::uint32_t number = 0;
  Kind kind = Kind::kGranted;
  // kHeld: the recorded coordinator, for logs.
  std::string holder;
  // kEnded.
  JobOutcome outcome;
};

}  // namespace coltsfoottide::direct
