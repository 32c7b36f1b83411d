#include "descriptor_limit.h"

#include <sys/resource.h>

#include <limits>

namespace coltsfoottide::daemon {

std::size_t DescriptorLimit() {
  rlimit limit{};
  const bool unknown = ::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY;
  return unknown ? std::numeric_limits<std::size_t>::max() : limit.rlim_cur;
}

std::size_t MaxCallerConnections(std::size_t descriptors) {
  constexpr std::size_t kReservedPart = 4;
  return descriptors - descriptors / kReservedPart;
}

}  // namespace coltsfoottide::daemon
