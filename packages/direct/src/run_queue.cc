#include "coltsfoottide/direct/run_queue.h"

#include <algorithm>
#include <utility>

#include "coltsfoottide/direct/cpu_work.h"
#include "coltsfoottide/direct/time_bounds.h"

namespace coltsfoottide::direct {

namespace {

// How often smaller runs may overtake a large one that does not fit. After
// that, resources are kept free for it.
constexpr std::uint32_t kMaxOvertaken = 6;
// Percentage of the estimate in the sort key of runs that can be in time.
constexpr int kUrgencyPercent = 30;

core::TimePoint LatestStart(const RunOrder& order) { return order.objective - order.estimate; }

// Sort key between the objective and the latest start. The objective alone
// would favour short runs; the latest start alone would favour long ones, whose
// start can wait less than their objective suggests.
core::TimePoint Urgency(const RunOrder& order) {
  return order.objective - order.estimate * kUrgencyPercent / 100;
}

// Whether `a` goes before `b`.
bool Precedes(const RunQueue::Item& a, const RunQueue::Item& b, core::TimePoint now) {
  if (a.order.expedited != b.order.expedited) return a.order.expedited;
  const core::TimePoint latest_a = LatestStart(a.order);
  const core::TimePoint latest_b = LatestStart(b.order);
  const bool late_a = latest_a < now;
  const bool late_b = latest_b < now;
  if (late_a != late_b) return late_b;
  if (late_a) {
    return a.order.useful_until - a.order.estimate < b.order.useful_until - b.order.estimate;
  }
  return Urgency(a.order) < Urgency(b.order);
}

}  // namespace

RunQueue::RunQueue(OverloadPolicy policy) : shedding_(policy) {}

void RunQueue::Add(RunOrder order, std::string owner) {
  items_.push_back(Item{std::move(order), std::move(owner), 0, 0});
}

std::optional<RunQueue::Item> RunQueue::TakeNext(const Resources& free, core::TimePoint now) {
  auto first = items_.end();
  auto best = items_.end();
  for (auto it = items_.begin(); it != items_.end(); ++it) {
    if (first == items_.end() || Precedes(*it, *first, now)) first = it;
    if (!free.Fits(it->order.need)) continue;
    if (best == items_.end() || Precedes(*it, *best, now)) best = it;
  }
  if (best == items_.end()) return std::nullopt;
  if (best != first && ++first->overtaken > kMaxOvertaken) return std::nullopt;
  best = ApplyPriorities(best, free, now);
  Item item = std::move(*best);
  items_.erase(best);
  return item;
}

std::list<RunQueue::Item>::iterator RunQueue::ApplyPriorities(std::list<Item>::iterator first,
                                                              const Resources& free,
                                                              core::TimePoint now) {
  auto best = first;
  for (auto it = items_.begin(); it != items_.end(); ++it) {
    if (!free.Fits(it->order.need)) continue;
    if (!shedding_.Yields(first->order, first->yielded, it->order, now)) continue;
    const bool more_urgent = it->order.priority < best->order.priority;
    const bool as_urgent = it->order.priority == best->order.priority;
    if (more_urgent || (as_urgent && Precedes(*it, *best, now))) best = it;
  }
  if (best != first) ++first->yielded;
  return best;
}

void RunQueue::Return(Item item) { items_.push_back(std::move(item)); }

template <typename Predicate>
std::vector<RunQueue::Item> RunQueue::TakeIf(Predicate predicate) {
  std::vector<Item> taken;
  for (auto it = items_.begin(); it != items_.end();) {
    if (!predicate(*it)) {
      ++it;
      continue;
    }
    taken.push_back(std::move(*it));
    it = items_.erase(it);
  }
  return taken;
}

void RunQueue::Expedite(const RunId& id) {
  for (Item& it : items_) {
    if (it.order.id == id) it.order.expedited = true;
  }
}

bool RunQueue::Remove(const RunId& id) {
  return !TakeIf([&id](const Item& it) { return it.order.id == id; }).empty();
}

std::vector<RunQueue::Item> RunQueue::TakeExpired(core::TimePoint now) {
  return TakeIf([now](const Item& it) {
    return now + MinRunTime(it.order.estimate) > it.order.useful_until;
  });
}

std::vector<RunQueue::Item> RunQueue::TakeOwnedBy(const std::string& owner) {
  return TakeIf([&owner](const Item& it) { return it.owner == owner; });
}

std::vector<RunQueue::Item> RunQueue::TakeTask(const TaskId& task) {
  return TakeIf([&task](const Item& it) { return it.order.id.task == task; });
}

std::vector<RunQueue::Item> RunQueue::TakeAll() {
  return TakeIf([](const Item&) { return true; });
}

std::uint64_t RunQueue::OnTimeWork(core::TimePoint now) const { return Work(false, now); }

std::uint64_t RunQueue::LateWork(core::TimePoint now) const { return Work(true, now); }

std::uint64_t RunQueue::Work(bool late, core::TimePoint now) const {
  std::uint64_t work = 0;
  for (const Item& it : items_) {
    const bool is_late = !it.order.expedited && LatestStart(it.order) < now;
    if (is_late != late) continue;
    work += CpuWork(it.order.need, it.order.estimate);
  }
  return work;
}

WorkByPriority RunQueue::OnTimeWorkByPriority(core::TimePoint now) const {
  WorkByPriority work{};
  for (const Item& it : items_) {
    if (!it.order.expedited && LatestStart(it.order) < now) continue;
    work.at(PriorityClass(it.order.priority)) += CpuWork(it.order.need, it.order.estimate);
  }
  return work;
}

bool RunQueue::Contains(const RunId& id) const {
  return std::any_of(items_.begin(), items_.end(),
                     [&id](const Item& it) { return it.order.id == id; });
}

}  // namespace coltsfoottide::direct
