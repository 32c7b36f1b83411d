#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoottide::console {

// A kind of task; its run times are log-normal and limited to 50 ms to 1 s.
struct TaskKind {
  std::string name;
  double weight = 1;
  double median_ms = 0;
  double sigma = 0;
};

struct TeamShare {
  std::string name;
  double weight = 1;
};

// Relative frequency of the dependency shapes.
struct ShapeWeights {
  double single = 0;
  // 2 to 5 tasks, each of which depends on the one before.
  double chain = 0;
  // One task, 3 to 10 parallel tasks that depend on it, and one that joins them.
  double fan = 0;
  // 3 layers of 3 to 6 tasks; each depends on 1 or 2 of the previous layer.
  double layered = 0;
  // Like a fan, with wide_min to wide_max parallel tasks; always bulk.
  double wide = 0;
};

// The distributions of the jobs that one user of the dispatcher submits.
struct WorkloadMix {
  std::string name;
  std::string service;
  std::vector<TaskKind> kinds;
  std::vector<TeamShare> teams;
  ShapeWeights shapes;
  int wide_min = 0;
  int wide_max = 0;
  double urgent_share = 0;
  // Share of the tasks that run for 1 to 4 s.
  double tail_share = 0;
  // If set, the run time of every task.
  std::optional<std::chrono::milliseconds> fixed_run_time;
};

// Returns the mix "atlas", "inzira" or "single" (urgent jobs of one team with
// one task of `run_time` each), or nothing for another name.
std::optional<WorkloadMix> MakeMix(const std::string& name, std::chrono::milliseconds run_time);

}  // namespace coltsfoottide::console
