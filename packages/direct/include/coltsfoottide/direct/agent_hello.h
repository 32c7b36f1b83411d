#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoottide/direct/run_report.h"
#include "coltsfoottide/direct/worker_crash.h"
#include "coltsfoottide/direct/worker_description.h"
#include "coltsfoottide/direct/worker_state.h"

namespace coltsfoottide::direct {

// First message of an agent on a new connection to an entry.
struct AgentHello {
  // Stays the same across restarts of the agent's process.
  std::string agent;
  // Differs for each process of the agent.
  std::uint64_t incarnation = 0;
  // Whether the agent has obtained the list of runs from the backend server, or
  // no process listens there; otherwise `runs` may lack some.
  bool runs_known = false;
  // Runs of this entry, runs whose entry is unknown, and recently ended runs.
  std::vector<RunReport> runs;
  // Recent crashes of the backend server, with the runs of all entries.
  std::vector<WorkerCrash> crashes{};
  // The backend server at the time of the hello. Without them nothing is placed there until they
  // have arrived.
  std::optional<WorkerDescription> description{};
  std::optional<WorkerState> state{};
};

}  // namespace coltsfoottide::direct
