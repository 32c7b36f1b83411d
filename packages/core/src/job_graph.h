#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::core {

// Dependency graph of a job's tasks. Ready tasks are returned in the order of
// their remaining critical paths, longest first.
class JobGraph {
 public:
  // Returns the estimated run time of a task.
  using RunTime = std::function<Duration(const api::TaskSpec&)>;

  // The job must be valid; its dependencies have no cycle.
  JobGraph(const api::JobSpec& job, const RunTime& run_time);

  // Tasks that depend on nothing.
  std::vector<std::uint32_t> Roots() const;

  // Records that a task is done and returns the tasks that became ready.
  std::vector<std::uint32_t> Finish(std::uint32_t index);

  // Run time of the longest chain of tasks that begins with this one.
  Duration Remaining(std::uint32_t index) const { return nodes_[index].remaining; }
  // Run time of the longest chain of the job.
  Duration CriticalPath() const;
  bool done() const { return unfinished_ == 0; }

 private:
  struct Node {
    std::vector<std::uint32_t> dependents;
    std::uint32_t pending_dependencies = 0;
    bool finished = false;
    Duration remaining{};
  };
  void ComputeRemaining(const api::JobSpec& job, const RunTime& run_time);
  void SortLongestFirst(std::vector<std::uint32_t>& tasks) const;

  std::vector<Node> nodes_;
  std::size_t unfinished_ = 0;
};

}  // namespace coltsfoottide::core
