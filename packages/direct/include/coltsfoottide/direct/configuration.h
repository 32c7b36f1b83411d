#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoottide/direct/route.h"

namespace coltsfoottide::direct {

// The operator's configuration in force.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  // Largest accepted body of a submission, in bytes.
  std::uint64_t max_body_bytes = 0;
  // The text that the operator wrote, for sending to other entries.
  std::string text;

  // Returns the route with the longest prefix of the path, or null.
  const Route* FindRoute(const std::string& host, const std::string& path) const;
};

}  // namespace coltsfoottide::direct
