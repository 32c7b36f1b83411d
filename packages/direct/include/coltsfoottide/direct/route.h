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
  // Callers that name no deadline wait this long.
  core::Duration timeout{};
  // An answer is in time within `stretch` times the longest chain of tasks
  // and this much more.
  core::Duration target_latency{};
  double stretch = 1.0;
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  // Workers of the queue need an approval that this system does not obtain.
  bool needs_advice = false;
};

}  // namespace coltsfoottide::direct
