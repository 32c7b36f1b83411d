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
    // Its stop or withdrawal has been ordered.
    kStopping,
    // The agent is silent; the run may go on until `ended_by`.
    kUnreachable,
    kDone,
  };

  bool HasRun() const {
    return state == State::kOrdered || state == State::kStarted || state == State::kStopping ||
           state == State::kUnreachable;
  }

  State state = State::kBlocked;
  // Agent of the latest run.
  std::string agent;
  // kStopping: the run is only withdrawn and continues if it has started.
  bool may_continue = false;
  std::uint32_t run_number = 0;
  std::uint32_t failures = 0;
  // kOrdered: the agent has reported the run as queued.
  bool reported_queued = false;
  // Whether an ended run of the task may have started.
  bool may_have_run = false;
  // Whether the latest run was ordered as expedited or expedited later.
  bool expedited = false;
  std::uint32_t moves = 0;
  core::TimePoint ordered_at;
  core::TimePoint ended_by;
  // Agents that failed, refused or delayed the task.
  std::set<std::string> avoided_agents;
};

}  // namespace coltsfoottide::direct
