#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/overload_policy.h"
#include "coltsfoottide/direct/priority_class.h"
#include "coltsfoottide/direct/resources.h"
#include "coltsfoottide/direct/run_order.h"
#include "coltsfoottide/direct/shedding_policy.h"
#include "coltsfoottide/direct/task_id.h"

namespace coltsfoottide::direct {

// Runs that wait for free resources at an agent. Runs that can still end in
// time go first, in order of urgency; late ones get the resources that are
// left, so that one overload does not make every later run late too. Expedited
// runs, the last ones of jobs that are nearly done, go before both: in an
// overload a single delayed run of a wide job would waste the work of all the
// others. With OverloadPolicy::kPriority a run gives way to a more urgent one that
// would otherwise be late.
class RunQueue {
 public:
  struct Item {
    RunOrder order;
    std::string owner;
    // Number of runs of lower precedence that were started before this one.
    std::uint32_t overtaken = 0;
    // How often it has let a more urgent run start before it.
    std::uint32_t yielded = 0;
  };

  explicit RunQueue(OverloadPolicy policy = OverloadPolicy::kShared);

  void Add(RunOrder order, std::string owner);

  // Removes and returns the run to start next, or nothing if none fits or the
  // free resources are kept for a large run.
  std::optional<Item> TakeNext(const Resources& free, core::TimePoint now);

  // Puts back a run that TakeNext has returned.
  void Return(Item item);

  // Moves the run, if it is queued, ahead of runs that are not expedited.
  void Expedite(const RunId& id);

  // Removes the run; returns whether it was queued.
  bool Remove(const RunId& id);

  // Removes and returns runs that can no longer end by their useful_until.
  std::vector<Item> TakeExpired(core::TimePoint now);
  // Removes and returns the runs of an owner.
  std::vector<Item> TakeOwnedBy(const std::string& owner);
  // Removes and returns the runs of a task.
  std::vector<Item> TakeTask(const TaskId& task);
  std::vector<Item> TakeAll();

  // Queued work in millicore-milliseconds: runs that can end in time or are
  // expedited, and runs that are late.
  std::uint64_t OnTimeWork(core::TimePoint now) const;
  std::uint64_t LateWork(core::TimePoint now) const;
  // The first by priority.
  WorkByPriority OnTimeWorkByPriority(core::TimePoint now) const;
  bool Contains(const RunId& id) const;
  bool empty() const { return items_.empty(); }
  const std::list<Item>& items() const { return items_; }

 private:
  std::uint64_t Work(bool late, core::TimePoint now) const;
  template <typename Predicate>
  std::vector<Item> TakeIf(Predicate predicate);

  // Returns the run to start instead of `first`, or `first`.
  std::list<Item>::iterator ApplyPriorities(std::list<Item>::iterator first, const Resources& free,
                                            core::TimePoint now);

  SheddingPolicy shedding_;
  std::list<Item> items_;
};

}  // namespace coltsfoottide::direct
