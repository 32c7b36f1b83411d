#pragma once

#include <cstdint>
#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Where the jobs of one host and path prefix go, and how they are treated.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;
  // Timeout for callers that name no deadline.
  core::Duration timeout{};
  // An answer is in time within `stretch` times the critical path of the job
  // plus this.
  core::Duration target_latency{};
  double stretch = 1.0;
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  // Whether the route's workers need an approval that this system does not
  // obtain; its jobs are refused.
  bool requires_approval = false;
};

}  // namespace coltsfoottide::direct
