#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"
#include "global_task_key.h"

namespace coltsfoottide::core {

// The tasks that a worker has started, until their results are acknowledged.
// To bound memory, a result may be dropped earlier; its task stays recorded as
// finished, so that it is never reported as not started.
class StartedTasks {
 public:
  struct Task {
    wire::TaskId id;
    std::string endpoint;
    std::uint64_t link_sequence = 0;
    api::JobClass job_class = api::URGENT;
    TimePoint started;
    bool finished = false;
    TimePoint finish_time;
    // Set from the end of the task until the result is dropped.
    bool has_result = false;
    wire::Result result;
    std::size_t bytes = 0;
    // Rank of the result by age; valid while has_result is set.
    std::uint64_t order = 0;
    // Set when the worker has removed its record of the task's coordinator; the
    // task is then removed with its result.
    bool coordinator_removed = false;
  };

  explicit StartedTasks(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  Task& AddRunning(const wire::Start& start, const std::string& endpoint, TimePoint now);

  // Returns the task, or null if it has not started or was removed.
  Task* Find(const GlobalTaskKey& key);

  // Stores the result; drops the oldest results while the byte bound is
  // exceeded.
  void Finish(Task& task, wire::Result result, TimePoint now);

  // Removes a task that the backend server refused before its start.
  void RemoveRunning(const GlobalTaskKey& key);

  // Removes a finished task; has no effect on a running one.
  void Acknowledge(const GlobalTaskKey& key);

  // Returns whether the task is among the last 1024 finished tasks that were
  // removed. A delayed Start of such a task must not run.
  bool RecentlyRemoved(const GlobalTaskKey& key) const { return removed_.contains(key); }

  // Drops the results of tasks finished at or before `limit`.
  void DropResultsBefore(TimePoint limit);

  // Removes the finished tasks of the coordinator; its running ones are removed
  // when their results are dropped.
  void RemoveCoordinator(std::uint64_t coordinator);

  // Returns the number of recorded tasks of a coordinator.
  std::size_t TaskCount(std::uint64_t coordinator) const;

  std::uint32_t running() const { return running_; }
  std::uint32_t running_bulk() const { return running_bulk_; }
  std::size_t results() const { return by_age_.size(); }
  std::size_t result_bytes() const { return bytes_; }
  // Finish time of the oldest result, or TimePoint::max().
  TimePoint OldestResult() const;

 private:
  void DropOldestResult();
  void DropResult(Task& task);
  void EndRunning(const Task& task);
  void Erase(const GlobalTaskKey& key);

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t running_bulk_ = 0;
  std::uint64_t next_order_ = 1;
  std::unordered_map<GlobalTaskKey, Task, GlobalTaskKeyHash> tasks_;
  std::unordered_map<std::uint64_t, std::unordered_set<GlobalTaskKey, GlobalTaskKeyHash>>
      by_coordinator_;
  // Tasks with a result, by Task::order.
  std::map<std::uint64_t, GlobalTaskKey> by_age_;
  // Finished tasks removed last, and the order of their removal.
  std::unordered_set<GlobalTaskKey, GlobalTaskKeyHash> removed_;
  std::deque<GlobalTaskKey> removed_order_;
};

}  // namespace coltsfoottide::core
