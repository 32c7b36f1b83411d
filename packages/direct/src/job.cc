#include "job.h"

#include <algorithm>

namespace coltsfoottide::direct {

bool Job::MayHaveRun() const {
  const auto uncertain = [](const Task& it) {
    using State = Task::State;
    const bool stopping = it.state == State::kStopping && !it.may_continue;
    return it.may_have_run || stopping || it.state == State::kStarted ||
           it.state == State::kUnreachable || it.state == State::kDone;
  };
  if (request.may_have_run) return true;
  return std::any_of(steps.begin(), steps.end(), [&](const std::vector<Task>& tasks) {
    return std::any_of(tasks.begin(), tasks.end(), uncertain);
  });
}

bool Job::NearlyDone() const {
  // Largest percentage of a job's tasks that may remain when it is expedited.
  // Up to it, finishing the remaining tasks yields a whole answer for little
  // work; above it, other jobs yield as much for the same work.
  constexpr std::size_t kMaxRemainingPercent = 34;
  constexpr std::size_t kWhole = 100;
  std::size_t total = 0;
  std::size_t remaining = 0;
  for (const std::vector<Task>& tasks : steps) {
    total += tasks.size();
    remaining += static_cast<std::size_t>(std::count_if(
        tasks.begin(), tasks.end(), [](const Task& it) { return it.state != Task::State::kDone; }));
  }
  return remaining * kWhole <= total * kMaxRemainingPercent;
}

}  // namespace coltsfoottide::direct
