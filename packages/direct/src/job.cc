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
  return std::any_of(steps.begin(), steps.end(), [&](const std::vector<Task>& tasks) {
    return std::any_of(tasks.begin(), tasks.end(), uncertain);
  });
}

bool Job::NearlyDone() const {
  // Completing a job gains a whole answer for the part of its work that is
  // left. If more than this share is left, other jobs gain as much for the same
  // work.
  constexpr std::size_t kMaxLeftPercent = 34;
  constexpr std::size_t kWhole = 100;
  std::size_t all = 0;
  std::size_t left = 0;
  for (const std::vector<Task>& tasks : steps) {
    all += tasks.size();
    left += static_cast<std::size_t>(std::count_if(
        tasks.begin(), tasks.end(), [](const Task& it) { return it.state != Task::State::kDone; }));
  }
  return left * kWhole <= all * kMaxLeftPercent;
}

}  // namespace coltsfoottide::direct
