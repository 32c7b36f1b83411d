#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coltsfoottide/direct/job_outcome.h"

namespace coltsfoottide::direct {

// Withdraws a claim. An entry that has coordinated the job sends it when no run of the job
// is left.
struct ClaimRelease {
  std::string job;
  // Of the claim.
  std::uint32_t number = 0;
  // The outcome, if later submissions of the job get the same answer.
  std::optional<JobOutcome> outcome;
};

}  // namespace coltsfoottide::direct
