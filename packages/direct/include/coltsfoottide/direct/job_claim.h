#pragma once

#include <cstdint>
#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// An entry's request to be recorded as the coordinator of a job.
struct JobClaim {
  std::string job;
  // Distinguishes the entry's claims for the same job.
  std::uint32_t number = 0;
  // The entry coordinates the job already.
  bool held = false;
  // How long the caller of a job that is not held still waits.
  core::Duration wait{};
  // When the claim was sent, by the claimant's clock. Verdicts return it.
  core::TimePoint sent_at{};
};

}  // namespace coltsfoottide::direct
