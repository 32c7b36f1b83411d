#include "coltsfoottide/console/critical_path.h"

#include <algorithm>

namespace coltsfoottide::console {

std::chrono::milliseconds CriticalPath(const api::JobSpec& job,
                                       const std::vector<std::chrono::milliseconds>& run_times) {
  using std::chrono::milliseconds;
  // Repeats the pass until no end time changes. This is cheap enough: jobs have
  // at most 220 tasks, nearly always listed after their dependencies.
  std::vector<milliseconds> ends(run_times.size(), milliseconds(0));
  for (bool changed = true; changed;) {
    changed = false;
    for (int n = 0; n < job.tasks_size(); ++n) {
      milliseconds start{0};
      for (const std::uint32_t dependency : job.tasks(n).depends_on()) {
        start = std::max(start, ends[dependency]);
      }
      const milliseconds end = start + run_times[static_cast<std::size_t>(n)];
      changed |= end != ends[static_cast<std::size_t>(n)];
      ends[static_cast<std::size_t>(n)] = end;
    }
  }
  return ends.empty() ? milliseconds(0) : *std::max_element(ends.begin(), ends.end());
}

}  // namespace coltsfoottide::console
