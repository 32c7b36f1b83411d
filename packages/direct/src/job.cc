#include "job.h"

#include <algorithm>

namespace coltsfoottide::direct {

bool Job::MayHaveRun() const {
  const auto uncertain = [](const Task& it) {
    using State = Task::State;
    const bool stopping = it.state == State::kStopping && !it.may_continue;
    return it.ran || stopping || it.state == State::kStarted || it.state == State::kOutOfReach ||
           it.state == State::kDone;
  };
  return std::any_of(steps.begin(), steps.end(), [&](const std::vector<Task>& tasks) {
    return std::any_of(tasks.begin(), tasks.end(), uncertain);
  });
}

bool Job::NearlyDone() const {
  // Finishing a job whose rest is done gains a whole answer for a part of its
  // work; beyond this part other jobs gain as much.
  constexpr std::size_t kMostLeftPercent = 34;
  constexpr std::size_t kWhole = 100;
  std::size_t all = 0;
  std::size_t left = 0;
  for (const std::vector<Task>& tasks : steps) {
    all += tasks.size();
    left += static_cast<std::size_t>(std::count_if(
        tasks.begin(), tasks.end(), [](const Task& it) { return it.state != Task::State::kDone; }));
  }
  return left * kWhole <= all * kMostLeftPercent;
}

}  // namespace coltsfoottide::direct
