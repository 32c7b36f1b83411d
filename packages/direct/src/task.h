#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// A task of a job in progress, as its entry sees it.
struct Task {
  enum class State {
    // Earlier steps are not done.
    kBlocked,
    // No run is queued or running.
    kReady,
    // Ordered; not known to have started.
    kOrdered,
    kStarted,
    // Ordered to end or to leave the queue.
    kStopping,
    // Its agent is silent; the run may go on until `over_at`.
    kOutOfReach,
    kDone,
  };

  bool HasRun() const {
    return state == State::kOrdered || state == State::kStarted || state == State::kStopping ||
           state == State::kOutOfReach;
  }

  State state = State::kBlocked;
  // Agent of the run.
  std::string agent;
  // kStopping: the run goes on if it has started already.
  bool may_continue = false;
  std::uint32_t run_number = 0;
  std::uint32_t failures = 0;
  // kOrdered: the agent has said that it waits.
  bool queued = false;
  // A run that is over may have begun.
  bool ran = false;
  // The agent knows that little work besides it completes the job.
  bool expedited = false;
  std::uint32_t moves = 0;
  core::TimePoint ordered_at;
  core::TimePoint over_at;
  // Agents that failed, refused or held up the task.
  std::set<std::string> avoided;
};

}  // namespace coltsfoottide::direct
