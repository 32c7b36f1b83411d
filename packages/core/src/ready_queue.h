#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/api.pb.h"
#include "task_key.h"

namespace coltsfoottide::core {

// Tasks that wait for a slot: one queue for each service and job class, the
// earliest latest_start first. Tasks with a reservation at a worker are kept
// in a separate set.
class ReadyQueue {
 public:
  struct Item {
    // The job's deadline less the task's remaining critical path.
    TimePoint latest_start;
    TaskKey key;
    bool operator<(const Item& other) const {
      return std::tie(latest_start, key) < std::tie(other.latest_start, other.key);
    }
  };
  // Identifies one queue.
  struct QueueKey {
    std::string service;
    api::JobClass job_class = api::URGENT;
    bool operator<(const QueueKey& other) const {
      return std::tie(service, job_class) < std::tie(other.service, other.job_class);
    }
  };

  void Add(const QueueKey& queue, const Item& item);
  // Removes the task, whether it has a reservation or not.
  void Remove(const QueueKey& queue, const Item& item);
  void SetReserved(const QueueKey& queue, const Item& item, bool reserved);

  // Returns the task that follows `after`, or the first task if `after` is
  // empty.
  std::optional<Item> Next(const QueueKey& queue, const std::optional<Item>& after) const;
  // Returns the next task without a reservation, as Next does.
  std::optional<Item> NextUnreserved(const QueueKey& queue, const std::optional<Item>& after) const;

  std::size_t ReservedCount(const QueueKey& queue) const;
  bool Empty(const QueueKey& queue) const;
  std::vector<std::string> Services() const;

 private:
  struct TaskSets {
    std::set<Item> unreserved;
    std::set<Item> reserved;
  };
  const TaskSets* Find(const QueueKey& queue) const;

  std::map<QueueKey, TaskSets> queues_;
};

}  // namespace coltsfoottide::core
