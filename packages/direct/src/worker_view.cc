#include "coltsfoottide/direct/worker_view.h"

#include <algorithm>
#include <chrono>

#include "coltsfoottide/direct/cpu_work.h"
#include "coltsfoottide/direct/slowness.h"

namespace coltsfoottide::direct {

namespace {

// A full backend server frees room within about one short task.
constexpr core::Duration kFullDelay = std::chrono::milliseconds(30);
// A run that fails costs its time and the way there and back.
constexpr core::Duration kFailureRoundTrip = std::chrono::milliseconds(50);

}  // namespace

void WorkerView::OnConnected() {
  connected_ = true;
  sent_.clear();
  covered_ = 0;
}

void WorkerView::OnReport(const WorkerState& state, std::uint64_t orders_seen,
                          core::TimePoint now) {
  state_ = state;
  state_time_ = now;
  for (; covered_ < orders_seen && !sent_.empty(); ++covered_) sent_.pop_front();
}

void WorkerView::OnOrder(const Resources& need, core::Duration estimate) {
  sent_.push_back({need, CpuWork(need, estimate)});
}

Resources WorkerView::Unclaimed() const {
  Resources free = state_.free;
  for (const SentOrder& it : sent_) free.Take(it.need);
  return free;
}

bool WorkerView::Serves(const std::string& service) const {
  return connected_ && state_.ready && !state_.draining && description_.service == service;
}

bool WorkerView::Suits(const StepRequest& step) const {
  if (!description_.total.Fits(step.each)) return false;
  return step.required_label.empty() ||
         std::find(description_.labels.begin(), description_.labels.end(), step.required_label) !=
             description_.labels.end();
}

core::Duration WorkerView::StartDelay(const Resources& need) const {
  if (state_.queued_work == 0 && Unclaimed().Fits(need)) return core::Duration::zero();
  if (description_.total.cpu_millicores == 0) return core::Duration::max() / 4;
  std::uint64_t sent = 0;
  for (const SentOrder& it : sent_) sent += it.work;
  // Without a queue only the part of these orders that exceeds the free room
  // waits.
  if (state_.queued_work == 0) sent /= 2;
  const double wait_ms = static_cast<double>(state_.queued_work + sent) /
                         static_cast<double>(description_.total.cpu_millicores) * Slowness();
  return kFullDelay + std::chrono::duration_cast<core::Duration>(
                          std::chrono::duration<double, std::milli>(wait_ms));
}

// Steering by differences that wrong estimates explain empties some backend
// servers and fills others.
double WorkerView::Slowness() const {
  return state_.slowness < kSlownessNoise ? 1.0 : state_.slowness;
}

std::uint64_t WorkerView::UnclaimedCpu() const { return Unclaimed().cpu_millicores; }

core::Duration WorkerView::RunTime(const StepRequest& step, double far_factor) const {
  const bool far = !step.data_rack.empty() && step.data_rack != description_.rack;
  const double factor = Slowness() * (far ? far_factor : 1.0);
  return std::chrono::duration_cast<core::Duration>(step.estimate * factor);
}

core::Duration WorkerView::FailurePenalty(core::Duration run_time) const {
  // Expected number of further runs until one succeeds, bounded.
  constexpr double kWorstRatio = 0.9;
  const double ratio = std::min(state_.failure_ratio, kWorstRatio);
  const double further_runs = ratio / (1.0 - ratio);
  return std::chrono::duration_cast<core::Duration>((run_time + kFailureRoundTrip) * further_runs);
}

}  // namespace coltsfoottide::direct
