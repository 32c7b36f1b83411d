#pragma once

#include <cstdint>
#include <string>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/job_outcome.h"

namespace coltsfoottide::direct {

// The answer to a JobClaim.
struct ClaimVerdict {
  enum class Kind {
    // The claimant is recorded as the coordinator.
    kGranted,
    // Another entry is. A claimant that does not coordinate the job itself gets a further verdict
    // when the other one has ended the job or its claim has lapsed.
    kTaken,
    // The job has ended; `outcome` is the answer to all submissions.
    kEnded,
  };

  std::string job;
  // Of the claim.
  std::uint32_t number = 0;
  Kind kind = Kind::kGranted;
  // kGranted: no other entry coordinates the job, as the sender has read everything that was
  // sent to it before a caller can have come back.
  bool complete = false;
  // kTaken: the recorded coordinator, for logs.
  std::string holder;
  // kEnded.
  JobOutcome outcome;
  // JobClaim::sent_at of the claim that is answered; the epoch if it is not known.
  core::TimePoint claim_sent_at{};
};

}  // namespace coltsfoottide::direct
