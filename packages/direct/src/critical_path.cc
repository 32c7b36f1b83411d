#include "coltsfoottide/direct/critical_path.h"

#include <algorithm>

#include "coltsfoottide/direct/step_request.h"

namespace coltsfoottide::direct {

core::Duration CriticalPathTime(const std::vector<StepRequest>& steps) {
  std::vector<core::Duration> ends(steps.size());
  core::Duration longest{};
  for (std::size_t i = 0; i < steps.size(); ++i) {
    for (const std::uint32_t before : steps[i].after) ends[i] = std::max(ends[i], ends[before]);
    ends[i] += steps[i].estimate;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

}  // namespace coltsfoottide::direct
