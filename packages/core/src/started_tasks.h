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
#include "start_key.h"

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
    // The worker has forgotten the task's coordinator.
    bool coordinator_forgotten = false;
  };

  explicit StartedTasks(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  Task& AddRunning(const wire::Start& start, const std::string& endpoint, TimePoint now);

  // Returns the task, or null if it has not started or is forgotten.
  Task* Find(const StartKey& key);

  // Stores the result; drops the oldest results while the byte bound is
  // exceeded.
  void Finish(Task& task, wire::Result result, TimePoint now);

  // Forgets a task that the backend server refused before its start.
  void RemoveRunning(const StartKey& key);

  // Forgets a finished task; a running one is not affected.
  void Acknowledge(const StartKey& key);

  // Returns whether the task is among the finished tasks that were forgotten
  // last. A delayed Start of such a task must not run.
  bool RecentlyForgotten(const StartKey& key) const { return forgotten_.contains(key); }

  // Drops the results of tasks finished at or before `limit`.
  void DropResultsBefore(TimePoint limit);

  // Forgets the finished tasks of the coordinator; its running ones are
  // forgotten when their results are dropped.
  void ForgetCoordinator(std::uint64_t coordinator);

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
  void Erase(const StartKey& key);

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t running_bulk_ = 0;
  std::uint64_t next_order_ = 1;
  std::unordered_map<StartKey, Task, StartKeyHash> tasks_;
  std::unordered_map<std::uint64_t, std::unordered_set<StartKey, StartKeyHash>> by_coordinator_;
  // Tasks with a result, by Task::order.
  std::map<std::uint64_t, StartKey> by_age_;
  // The finished tasks forgotten last, for RecentlyForgotten.
  std::unordered_set<StartKey, StartKeyHash> forgotten_;
  std::deque<StartKey> forgotten_order_;
};

}  // namespace coltsfoottide::core
