#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/resources.h"
#include "coltsfoottide/direct/run_order.h"

namespace coltsfoottide::direct {

// Runs that wait for room at an agent. In a burst those that can still end in
// time go first, by their latest start; those that are late already fill what
// room is left, so that one overload does not make every later run late too.
// Before both go the last runs of jobs that are nearly done: of a wide job in
// an overload one run that stays behind would waste the work of all others.
class RunQueue {
 public:
  struct Item {
    RunOrder order;
    std::string owner;
    // Runs behind it that were started before it.
    std::uint32_t passed = 0;
  };

  void Add(RunOrder order, std::string owner);

  // Removes and returns the run to start next in the free room.
  std::optional<Item> TakeNext(const Resources& free, core::TimePoint now);

  // Lets the run, if it is here, go before those of other jobs.
  void Expedite(const RunId& id);

  // Removes the run; returns whether it was there.
  bool Remove(const RunId& id);

  // Removes and returns runs that can no longer end while they are of use.
  std::vector<Item> TakeExpired(core::TimePoint now);
  // Removes and returns the runs of an owner.
  std::vector<Item> TakeOwnedBy(const std::string& owner);
  std::vector<Item> TakeAll();

  // Waiting work in millicores times milliseconds: runs that can end in time,
  // and those that are late.
  std::uint64_t OnTimeWork(core::TimePoint now) const;
  std::uint64_t LateWork(core::TimePoint now) const;
  bool Contains(const RunId& id) const;
  bool empty() const { return items_.empty(); }
  const std::list<Item>& items() const { return items_; }

 private:
  std::uint64_t Work(bool late, core::TimePoint now) const;
  template <typename Predicate>
  std::vector<Item> TakeIf(Predicate predicate);

  std::list<Item> items_;
};

}  // namespace coltsfoottide::direct
