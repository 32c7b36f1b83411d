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

// Tasks that wait for a slot, by service and class, the one that must start
// soonest first. Tasks with a reservation at a worker are kept apart.
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
  // Selects one queue.
  struct Lane {
    std::string service;
    api::JobClass job_class = api::URGENT;
    bool operator<(const Lane& other) const {
      return std::tie(service, job_class) < std::tie(other.service, other.job_class);
    }
  };

  void Add(const Lane& lane, const Item& item);
  // Takes the task out, reserved or not.
  void Remove(const Lane& lane, const Item& item);
  void SetReserved(const Lane& lane, const Item& item, bool reserved);

  // The next task after `after` in order, or the first.
  std::optional<Item> Next(const Lane& lane, const std::optional<Item>& after) const;
  // The same among those without a reservation.
  std::optional<Item> NextUnreserved(const Lane& lane, const std::optional<Item>& after) const;

  std::size_t ReservedCount(const Lane& lane) const;
  bool Empty(const Lane& lane) const;
  std::vector<std::string> Services() const;

 private:
  struct Waiting {
    std::set<Item> unreserved;
    std::set<Item> reserved;
  };
  const Waiting* Find(const Lane& lane) const;

  std::map<Lane, Waiting> lanes_;
};

}  // namespace coltsfoottide::core
