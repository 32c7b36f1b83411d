#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// What a coordinator knows of one worker when it places a task.
struct WorkerView {
  std::string endpoint;
  std::string data_centre;
  std::string rack;
  // Free slots as last told, less own starts sent since.
  int free_slots = 0;
  std::uint32_t slots = 0;
  std::uint32_t queued = 0;
  // Age of the last word from the worker.
  Duration age{};
};

// Where one ready task goes.
struct PlacementDecision {
  // Send a Start to this worker, if not empty.
  std::string start;
  // Else send a Reserve to each of these; empty when no worker is eligible.
  std::vector<std::string> reserve;
};

// Chooses workers for ready tasks.
class Placement {
 public:
  virtual ~Placement() = default;

  // Decides for one task among the eligible workers; `tried` names the workers
  // that answered a Start of this task with BUSY.
  virtual PlacementDecision Place(const std::vector<WorkerView>& eligible,
                                  const std::string& own_data_centre, api::JobClass job_class,
                                  const std::vector<std::string>& tried, TimePoint now) = 0;
};

// Starts directly where a slot is believed free, own data centre first, and
// reserves at the workers with the shortest queues otherwise.
std::unique_ptr<Placement> MakeHybridPlacement(std::uint64_t seed);

// The baseline: reserves at one random worker.
std::unique_ptr<Placement> MakeRandomPlacement(std::uint64_t seed);

}  // namespace coltsfoottide::core
