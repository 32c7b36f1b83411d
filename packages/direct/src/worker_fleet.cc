#include "coltsfoottide/direct/worker_fleet.h"

#include <chrono>
#include <tuple>
#include <utility>

namespace coltsfoottide::direct {

namespace {

// Two passes between data centres; orders inside the own data centre also
// save bytes between them.
constexpr core::Duration kOtherDataCentreDelay = std::chrono::milliseconds(4);
// Differences in expected end below this are within what estimates are off,
// so the backend server with more free cores is taken.
constexpr core::Duration kEqualWithin = std::chrono::milliseconds(3);

}  // namespace

WorkerFleet::WorkerFleet(std::string data_centre, double far_factor)
    : data_centre_(std::move(data_centre)), far_factor_(far_factor) {}

const WorkerView* WorkerFleet::Find(const std::string& agent) const {
  const auto it = workers_.find(agent);
  return it == workers_.end() ? nullptr : &it->second;
}

std::optional<PlacementChoice> WorkerFleet::Choose(
    const std::string& service, const StepRequest& step, const std::set<std::string>& excluded,
    const std::function<bool(const std::string&)>& full) const {
  auto choice = ChooseAmong(service, step, excluded, full);
  if (!choice && !excluded.empty()) choice = ChooseAmong(service, step, {}, full);
  return choice;
}

std::optional<PlacementChoice> WorkerFleet::ChooseAmong(
    const std::string& service, const StepRequest& step, const std::set<std::string>& excluded,
    const std::function<bool(const std::string&)>& full) const {
  std::optional<PlacementChoice> best;
  core::Duration best_cost{};
  std::uint64_t best_free = 0;
  for (const auto& [agent, view] : workers_) {
    if (!view.Eligible(service, step) || evacuated_.contains(view.state().data_centre)) continue;
    if (excluded.contains(agent) || full(agent)) continue;
    const core::Duration delay = view.StartDelay(step.each);
    const core::Duration run_time = view.RunTime(step, far_factor_);
    core::Duration cost = delay + run_time + view.FailurePenalty(run_time);
    if (view.state().data_centre != data_centre_) cost += kOtherDataCentreDelay;
    const std::uint64_t free = view.UnclaimedCpu();
    const bool better = !best || cost + kEqualWithin < best_cost ||
                        (cost < best_cost + kEqualWithin && free > best_free);
    if (!better) continue;
    best = PlacementChoice{agent, delay, run_time};
    best_cost = cost;
    best_free = free;
  }
  return best;
}

std::uint64_t WorkerFleet::Capacity(const std::string& service) const {
  std::uint64_t millicores = 0;
  for (const auto& [agent, view] : workers_) {
    const WorkerState& state = view.state();
    const bool usable = view.connected() && state.ready && !state.draining;
    if (usable && state.service == service && !evacuated_.contains(state.data_centre)) {
      millicores += state.total.cpu_millicores;
    }
  }
  return millicores;
}

}  // namespace coltsfoottide::direct
