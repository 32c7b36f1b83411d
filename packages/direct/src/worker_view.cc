#include "coltsfoottide/direct/worker_view.h"

#include <algorithm>
#include <chrono>

#include "coltsfoottide/direct/cpu_work.h"
#include "coltsfoottide/direct/slowness.h"

namespace coltsfoottide::direct {

namespace {

// A full backend server frees resources within about one short task.
constexpr core::Duration kFullWorkerDelay = std::chrono::milliseconds(30);
// A failed run costs its run time and about this time for its report and the
// next order.
constexpr core::Duration kFailureRoundTrip = std::chrono::milliseconds(50);

}  // namespace

void WorkerView::OnConnected() {
  connected_ = true;
  description_ = {};
  state_ = {};
  pending_.clear();
  pending_need_ = {};
  pending_work_ = 0;
  orders_seen_ = 0;
}

void WorkerView::OnState(const WorkerState& state, std::uint64_t orders_seen, core::TimePoint now) {
  state_ = state;
  state_time_ = now;
  for (; orders_seen_ < orders_seen && !pending_.empty(); ++orders_seen_) {
    pending_need_.Subtract(pending_.front().need);
    pending_work_ -= pending_.front().work;
    pending_.pop_front();
  }
}

void WorkerView::OnOrder(const Resources& need, core::Duration estimate, std::uint32_t priority) {
  pending_.push_back({need, CpuWork(need, estimate), PriorityClass(priority)});
  pending_need_.Add(need);
  pending_work_ += pending_.back().work;
}

Resources WorkerView::AvailableResources() const {
  Resources free = state_.free;
  free.Subtract(pending_need_);
  return free;
}

bool WorkerView::Serves(const std::string& service) const {
  return connected_ && state_.ready && !state_.draining && description_.service == service;
}

bool WorkerView::MeetsRequirements(const StepRequest& step) const {
  if (!description_.total.Fits(step.need)) return false;
  return step.required_label.empty() || description_.HasLabel(step.required_label);
}

core::Duration WorkerView::StartDelay(const Resources& need) const {
  if (state_.queued_work == 0 && AvailableResources().Fits(need)) return core::Duration::zero();
  if (description_.total.cpu_millicores == 0) return core::Duration::max() / 4;
  std::uint64_t sent = pending_work_;
  // Without a queue only the orders that exceed the free resources wait; half
  // of the ordered work is the estimate for them.
  if (state_.queued_work == 0) sent /= 2;
  const double wait_ms = static_cast<double>(state_.queued_work + sent) /
                         static_cast<double>(description_.total.cpu_millicores) * Slowness();
  return kFullWorkerDelay + std::chrono::duration_cast<core::Duration>(
                                std::chrono::duration<double, std::milli>(wait_ms));
}

std::uint64_t WorkerView::LessUrgentWork(std::uint32_t priority) const {
  std::uint64_t work = 0;
  for (std::size_t i = PriorityClass(priority) + 1; i < kPriorityClasses; ++i) {
    work += state_.queued_by_priority.at(i);
  }
  return work;
}

core::Duration WorkerView::LessUrgentDelay(std::uint32_t priority) const {
  if (description_.total.cpu_millicores == 0) return core::Duration::zero();
  std::uint64_t sent = 0;
  for (const PendingOrder& it : pending_) {
    if (it.priority_class > PriorityClass(priority)) sent += it.work;
  }
  // As in StartDelay.
  if (state_.queued_work == 0) sent /= 2;
  const double wait_ms = static_cast<double>(LessUrgentWork(priority) + sent) /
                         static_cast<double>(description_.total.cpu_millicores) * Slowness();
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, std::milli>(wait_ms));
}

// Differences that estimate errors explain are ignored: placement by them would
// leave some backend servers idle and overload others.
double WorkerView::Slowness() const {
  if (state_.slowness < kMinSignificantSlowness) return relative_run_time_;
  return std::max(state_.slowness, relative_run_time_);
}

std::uint64_t WorkerView::EffectiveCpu() const {
  if (relative_run_time_ == 1.0) return description_.total.cpu_millicores;
  return static_cast<std::uint64_t>(static_cast<double>(description_.total.cpu_millicores) /
                                    relative_run_time_);
}

std::uint64_t WorkerView::AvailableCpu() const { return AvailableResources().cpu_millicores; }

core::Duration WorkerView::RunTime(const StepRequest& step, double far_factor) const {
  const bool far = !step.data_rack.empty() && step.data_rack != description_.rack;
  const double factor = Slowness() * (far ? far_factor : 1.0);
  return std::chrono::duration_cast<core::Duration>(step.estimate * factor);
}

core::Duration WorkerView::FailurePenalty(core::Duration run_time) const {
  // Expected number of further runs until one succeeds, bounded.
  constexpr double kMaxFailureRatio = 0.9;
  const double ratio = std::min(state_.failure_ratio, kMaxFailureRatio);
  const double further_runs = ratio / (1.0 - ratio);
  return std::chrono::duration_cast<core::Duration>((run_time + kFailureRoundTrip) * further_runs);
}

}  // namespace coltsfoottide::direct
