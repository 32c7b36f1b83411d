#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoottide/direct/run_report.h"

namespace coltsfoottide::direct {

// What an agent says when its connection to an entry opens.
struct AgentHello {
  // Stays the same across restarts of the agent's process.
  std::string agent;
  // New with each process.
  std::uint64_t incarnation = 0;
  // Whether `runs` holds every run that is on the backend server.
  bool runs_known = false;
  // Runs of this entry and runs whose entry is unknown, and runs that ended
  // lately.
  std::vector<RunReport> runs;
};

}  // namespace coltsfoottide::direct
