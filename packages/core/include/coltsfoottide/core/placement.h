#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// State of one worker as seen by a coordinator, for placement.
struct WorkerView {
  std::string endpoint;
  std::string data_centre;
  std::string rack;
  // Free slots in the worker's last load report, less the starts that this
  // coordinator has sent since.
  int free_slots = 0;
  std::uint32_t slots = 0;
  std::uint32_t queued = 0;
  // Age of the worker's last load report.
  Duration report_age{};
};

// The workers chosen for one ready task.
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

  // Chooses among the eligible workers for one task; `tried` lists the workers
  // that answered a Start of this task with BUSY.
  virtual PlacementDecision Place(const std::vector<WorkerView>& eligible,
                                  const std::string& own_data_centre, api::JobClass job_class,
                                  const std::vector<std::string>& tried, TimePoint now) = 0;
};

// Starts the task directly on a worker whose slot is estimated to be free, own
// data centre first; otherwise reserves at the workers with the shortest
// queues.
std::unique_ptr<Placement> MakeHybridPlacement(std::uint64_t seed);

// The baseline: reserves at one random worker.
std::unique_ptr<Placement> MakeRandomPlacement(std::uint64_t seed);

}  // namespace coltsfoottide::core
