#include "coltsfoottide/direct/worker_view.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace coltsfoottide::direct {

namespace {

// A report that arrives this soon after an order may have left before it: two
// passes between data centres and the agent's own turn.
constexpr core::Duration kOrderInFlight = std::chrono::milliseconds(12);
// A full backend server frees room within about one short task.
constexpr core::Duration kFullDelay = std::chrono::milliseconds(30);
// A run that fails costs its time and the way there and back.
constexpr core::Duration kFailureRoundTrip = std::chrono::milliseconds(50);

}  // namespace

void WorkerView::OnReport(const WorkerState& state, core::TimePoint now) {
  state_ = state;
  if (now - last_order_ < kOrderInFlight) return;
  sent_ = {};
  sent_work_ = 0;
}

void WorkerView::OnOrder(const Resources& need, core::Duration estimate, core::TimePoint now) {
  sent_.Return(need);
  const auto length = std::chrono::duration_cast<std::chrono::milliseconds>(estimate);
  sent_work_ += need.cpu_millicores * static_cast<std::uint64_t>(length.count());
  last_order_ = now;
}

bool WorkerView::Eligible(const std::string& service, const StepRequest& step) const {
  if (!connected_ || !state_.ready || state_.draining || state_.service != service) return false;
  if (!state_.total.Fits(step.each)) return false;
  return step.required_label.empty() || std::find(state_.labels.begin(), state_.labels.end(),
                                                  step.required_label) != state_.labels.end();
}

core::Duration WorkerView::StartDelay(const Resources& need) const {
  Resources free = state_.free;
  free.Take(sent_);
  if (state_.queued_work == 0 && free.Fits(need)) return core::Duration::zero();
  if (state_.total.cpu_millicores == 0) return core::Duration::max() / 4;
  // Without a queue only the part of the latest orders that exceeds the free
  // room waits.
  const std::uint64_t sent = state_.queued_work > 0 ? sent_work_ : sent_work_ / 2;
  const double wait_ms = static_cast<double>(state_.queued_work + sent) /
                         static_cast<double>(state_.total.cpu_millicores) * state_.slowness;
  return kFullDelay + std::chrono::duration_cast<core::Duration>(
                          std::chrono::duration<double, std::milli>(wait_ms));
}

std::uint64_t WorkerView::UnclaimedCpu() const {
  Resources free = state_.free;
  free.Take(sent_);
  return free.cpu_millicores;
}

core::Duration WorkerView::RunTime(const StepRequest& step, double far_factor) const {
  const bool far = !step.data_rack.empty() && step.data_rack != state_.rack;
  // In steps, since small differences are noise of the callers' estimates.
  constexpr double kStep = 0.25;
  const double slowness = std::max(std::round(state_.slowness / kStep) * kStep, kStep);
  const double factor = slowness * (far ? far_factor : 1.0);
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
