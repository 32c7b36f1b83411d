#include "coltsfoottide/direct/worker_fleet.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace coltsfoottide::direct {

namespace {

// One network round trip between data centres. Orders within the own data
// centre also save traffic between them.
constexpr core::Duration kOtherDataCentreDelay = std::chrono::milliseconds(4);
// Differences in expected end below this are within the error of the estimates,
// so the backend servers count as equal.
constexpr core::Duration kCostTolerance = std::chrono::milliseconds(3);

}  // namespace

WorkerFleet::WorkerFleet(std::string data_centre, double far_factor, std::uint64_t seed)
    : data_centre_(std::move(data_centre)), far_factor_(far_factor), random_(seed) {}

std::optional<PlacementChoice> WorkerFleet::Choose(const std::string& service,
                                                   const StepRequest& step,
                                                   const std::set<std::string>& excluded,
                                                   const Exclusion& unusable) {
  auto choice = ChooseAmong(service, step, excluded, unusable);
  if (!choice && !excluded.empty()) choice = ChooseAmong(service, step, {}, unusable);
  return choice;
}

std::optional<PlacementChoice> WorkerFleet::ChooseAmong(const std::string& service,
                                                        const StepRequest& step,
                                                        const std::set<std::string>& excluded,
                                                        const Exclusion& unusable) {
  struct Candidate {
    PlacementChoice choice;
    core::Duration cost{};
    double free = 0;
  };
  std::vector<Candidate> candidates;
  core::Duration best = core::Duration::max();
  for (const auto& [agent, view] : workers_) {
    if (!MayTakeWork(view, service) || !view.MeetsRequirements(step)) continue;
    if (excluded.contains(agent) || unusable(agent)) continue;
    const core::Duration delay = view.StartDelay(step.need);
    const core::Duration run_time = view.RunTime(step, far_factor_);
    core::Duration cost = delay + run_time + view.FailurePenalty(run_time);
    if (view.description().data_centre != data_centre_) cost += kOtherDataCentreDelay;
    best = std::min(best, cost);
    // Plus one, so that a full backend server has a small weight and not none.
    const double free = static_cast<double>(view.AvailableCpu()) + 1.0;
    candidates.push_back({{agent, delay, run_time, view.state_time()}, cost, free});
  }
  std::erase_if(candidates,
                [best](const Candidate& it) { return it.cost > best + kCostTolerance; });
  if (candidates.empty()) return std::nullopt;
  std::vector<double> weights;
  weights.reserve(candidates.size());
  for (const Candidate& it : candidates) weights.push_back(it.free * it.free);
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return candidates[draw(random_)].choice;
}

bool WorkerFleet::MayTakeWork(const WorkerView& view, const std::string& service) const {
  return view.Serves(service) && !evacuated_.contains(view.description().data_centre);
}

std::uint64_t WorkerFleet::Capacity(const std::string& service, const Exclusion& unusable) const {
  std::uint64_t millicores = 0;
  for (const auto& [agent, view] : workers_) {
    if (!MayTakeWork(view, service) || unusable(agent)) continue;
    millicores += view.description().total.cpu_millicores;
  }
  return millicores;
}

core::Duration WorkerFleet::Backlog(const std::string& service, const Exclusion& unusable) const {
  std::uint64_t work = 0;
  for (const auto& [agent, view] : workers_) {
    if (!MayTakeWork(view, service) || unusable(agent)) continue;
    work += view.state().queued_work;
  }
  const std::uint64_t millicores = Capacity(service, unusable);
  return millicores == 0 ? core::Duration::zero() : std::chrono::milliseconds(work / millicores);
}

core::Duration WorkerFleet::LessUrgentBacklog(const std::string& service, std::uint32_t priority,
                                              const Exclusion& unusable) const {
  std::uint64_t work = 0;
  for (const auto& [agent, view] : workers_) {
    if (!MayTakeWork(view, service) || unusable(agent)) continue;
    work += view.LessUrgentWork(priority);
  }
  const std::uint64_t millicores = Capacity(service, unusable);
  return millicores == 0 ? core::Duration::zero() : std::chrono::milliseconds(work / millicores);
}

std::size_t WorkerFleet::CountSuitable(const std::vector<std::string>& agents,
                                       const StepRequest& step, const Exclusion& unusable) const {
  return static_cast<std::size_t>(
      std::count_if(agents.begin(), agents.end(), [&](const std::string& it) {
        return workers_.at(it).MeetsRequirements(step) && !unusable(it);
      }));
}

std::map<std::string, std::vector<std::string>> WorkerFleet::AgentsByService(
    const std::set<std::string>& expected_back) const {
  std::map<std::string, std::vector<std::string>> agents;
  for (const auto& [agent, view] : workers_) {
    const std::string& service = view.description().service;
    const bool evacuated = evacuated_.contains(view.description().data_centre);
    if (service.empty() || evacuated || !view.connected() || view.state().draining) continue;
    if (view.state().ready || expected_back.contains(agent)) agents[service].push_back(agent);
  }
  return agents;
}

}  // namespace coltsfoottide::direct
