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
  // 2 to 5 tasks in a row.
  double chain = 0;
  // One task, 3 to 10 parallel ones, one that joins them.
  double fan = 0;
  // 3 layers of 3 to 6 tasks; each needs 1 or 2 of the layer before.
  double layered = 0;
  // Like a fan, with many parallel tasks; always bulk.
  double wide = 0;
};

// The jobs of one user of the dispatcher.
struct WorkloadMix {
  std::string name;
  std::string service;
  std::vector<TaskKind> kinds;
  std::vector<TeamShare> teams;
  ShapeWeights shapes;
  int wide_min = 0;
  int wide_max = 0;
  double urgent_share = 0;
  // Share of tasks that run 1 to 4 s.
  double tail_share = 0;
  // All tasks run exactly this long, when set.
  std::optional<std::chrono::milliseconds> fixed_run_time;
};

// Makes the mix "atlas", "inzira" or "single" (one task of `run_time` each,
// one team, urgent); nothing for another name.
std::optional<WorkloadMix> MakeMix(const std::string& name, std::chrono::milliseconds run_time);

}  // namespace coltsfoottide::console
