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

}  // namespace coltsfoottide::direct
