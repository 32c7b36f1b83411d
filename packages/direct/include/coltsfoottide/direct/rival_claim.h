#pragma once

#include <cstdint>
#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Tells the recorded claimant of a job that another entry claims it as well: the caller has
// submitted the job there and waits, or that entry coordinates the job already.
struct RivalClaim {
  std::string job;
  // Of the claim that is recorded.
  std::uint32_t number = 0;
  // The other claimant.
  std::string entry;
  // The other claimant coordinates the job already.
  bool held = false;
  // How long the caller waits, if the job is not held.
  core::Duration wait{};
};

}  // namespace coltsfoottide::direct
