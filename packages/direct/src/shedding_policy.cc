#include "coltsfoottide/direct/shedding_policy.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>

#include "coltsfoottide/direct/admission_request.h"
#include "coltsfoottide/direct/run_order.h"
#include "coltsfoottide/direct/time_bounds.h"
#include "coltsfoottide/direct/waiting_job.h"

namespace coltsfoottide::direct {

namespace {

// Percentage of the admitted work that each priority keeps, however many more
// urgent jobs there are. Callers of the least urgent kind still see some answers,
// and the others lose little.
constexpr std::uint64_t kMinSharePercent = 10;
// Interval after which the record of admitted work is halved. The share is kept over
// a few seconds, the length of the bursts that callers send.
constexpr core::Duration kShareInterval = std::chrono::seconds(2);
// A class counts as present for this long after its last job, like the slack of a
// job in AdmissionControl.
constexpr core::Duration kPresence = std::chrono::seconds(2);
// Time until a full backend server has resources for the next run, about one short task.
constexpr core::Duration kNextStartDelay = std::chrono::milliseconds(30);
// How often a run lets more urgent ones start before it: the tasks of two jobs of the
// most urgent kind of the target deployments.
constexpr std::uint32_t kMaxYields = 16;
// Percentage of the longest delay that is left to a class under overload, for each more
// urgent class that is present, so that the least urgent class is refused first as queues
// grow. See docs/design/load-shedding.md.
constexpr int kDelayPercent = 70;
// Backend servers count as overloaded once no submission has found free resources for
// kBusyPeriod, a little more than two states of an agent are apart, and for
// kOverloadPeriod after that: while less urgent jobs are refused there are free
// resources again.
constexpr core::Duration kBusyPeriod = std::chrono::milliseconds(50);
constexpr core::Duration kOverloadPeriod = std::chrono::seconds(1);

}  // namespace

SheddingPolicy::SheddingPolicy(OverloadPolicy policy) : policy_(policy) {}

void SheddingPolicy::OnSubmit(std::uint32_t priority, core::Duration slack, core::TimePoint now) {
  const std::size_t own = policy_ == OverloadPolicy::kShared ? 0 : PriorityClass(priority);
  slack_.at(own).OnSubmit(slack, now);
  present_until_.at(own) = now + kPresence;
}

AdmissionVerdict SheddingPolicy::Decide(const AdmissionRequest& request, core::TimePoint now) {
  if (policy_ == OverloadPolicy::kShared) {
    const core::Duration delay = std::max(request.start_delay, request.backlog);
    const bool admit = request.useful && delay <= slack_.front().LongestDelay();
    return admit ? AdmissionVerdict::kAdmit : AdmissionVerdict::kBacklog;
  }
  if (!request.useful) return AdmissionVerdict::kBacklog;
  const std::size_t own = PriorityClass(request.priority);
  const core::Duration backlog = request.backlog - request.less_urgent_backlog;
  const core::Duration delay =
      std::max(request.start_delay - request.less_urgent_start_delay, backlog);
  ObserveLoad(request.start_delay == core::Duration::zero(), now);
  bool admit = delay <= LongestDelay(own, now);
  const bool for_more_urgent =
      !admit && MoreUrgentPresent(own, now) && delay <= slack_.at(own).LongestDelay();
  if (for_more_urgent) {
    // Free resources would be lost, unless more urgent jobs are refused too.
    const bool free = request.start_delay == core::Duration::zero();
    const bool urgent_admitted = backlog - request.equal_backlog <= LongestDelay(own - 1, now);
    admit = (free && urgent_admitted) || BelowShare(own);
  }
  if (admit) {
    RecordAdmitted(own, request.work, now);
    return AdmissionVerdict::kAdmit;
  }
  return for_more_urgent ? AdmissionVerdict::kMoreUrgentWork : AdmissionVerdict::kBacklog;
}

bool SheddingPolicy::Yields(const RunOrder& first, std::uint32_t yielded, const RunOrder& other,
                            core::TimePoint now) const {
  if (policy_ == OverloadPolicy::kShared || yielded >= kMaxYields) return false;
  if (first.expedited || PriorityClass(other.priority) >= PriorityClass(first.priority)) {
    return false;
  }
  // Estimates are off: a run counts as late only if its shortest run time is too long.
  const bool in_time = now + MinRunTime(other.estimate) <= other.objective;
  return in_time && now + kNextStartDelay + other.estimate > other.objective;
}

bool SheddingPolicy::MayGiveUp(std::uint32_t priority, core::TimePoint now) const {
  return policy_ == OverloadPolicy::kPriority && MoreUrgentPresent(PriorityClass(priority), now);
}

std::vector<std::string> SheddingPolicy::ChooseGivenUp(std::vector<WaitingJob> waiting,
                                                       std::size_t max, core::TimePoint now) const {
  std::erase_if(waiting, [this, now](const WaitingJob& it) {
    const bool in_time = now + it.min_time_needed <= it.objective;
    return in_time || it.begun || !MayGiveUp(it.priority, now);
  });
  const std::size_t n = std::min(max, waiting.size());
  const auto costs_less = [](const WaitingJob& a, const WaitingJob& b) {
    if (a.priority != b.priority) return a.priority > b.priority;
    return a.work_needed > b.work_needed;
  };
  // Bounded by `max`, so that the cost stays linear in what waits.
  std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(n),
                    waiting.end(), costs_less);
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < n; ++i) ids.push_back(std::move(waiting[i].id));
  return ids;
}

core::Duration SheddingPolicy::LongestDelay(std::size_t priority_class, core::TimePoint now) const {
  core::Duration longest = core::Duration::max();
  for (std::size_t i = 0; i <= priority_class; ++i) {
    if (now <= present_until_.at(i)) longest = std::min(longest, slack_.at(i).LongestDelay());
  }
  if (longest == core::Duration::max() || now > overloaded_until_) return longest;
  constexpr int kWhole = 100;
  for (std::size_t i = 0; i < priority_class; ++i) {
    if (now <= present_until_.at(i)) longest = longest * kDelayPercent / kWhole;
  }
  return longest;
}

void SheddingPolicy::ObserveLoad(bool free_resources, core::TimePoint now) {
  if (free_resources) {
    busy_since_.reset();
    return;
  }
  if (!busy_since_) busy_since_ = now;
  if (now - *busy_since_ >= kBusyPeriod) overloaded_until_ = now + kOverloadPeriod;
}

bool SheddingPolicy::MoreUrgentPresent(std::size_t priority_class, core::TimePoint now) const {
  return std::any_of(present_until_.begin(),
                     present_until_.begin() + static_cast<std::ptrdiff_t>(priority_class),
                     [now](core::TimePoint it) { return now <= it; });
}

bool SheddingPolicy::BelowShare(std::size_t priority_class) const {
  constexpr std::uint64_t kWhole = 100;
  const std::uint64_t all = std::accumulate(admitted_.begin(), admitted_.end(), std::uint64_t{0});
  return admitted_.at(priority_class) * kWhole < all * kMinSharePercent;
}

void SheddingPolicy::RecordAdmitted(std::size_t priority_class, std::uint64_t work,
                                    core::TimePoint now) {
  // Older work counts for nothing.
  constexpr int kMaxHalvings = 32;
  halved_at_ = std::max(halved_at_, now - kShareInterval * kMaxHalvings);
  for (; now - halved_at_ >= kShareInterval; halved_at_ += kShareInterval) {
    for (std::uint64_t& it : admitted_) it /= 2;
  }
  admitted_.at(priority_class) += work;
}

}  // namespace coltsfoottide::direct
