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
  return ChooseFrom(FindCandidates(service, step, unusable), excluded, {});
}

std::vector<StepCandidate> WorkerFleet::FindCandidates(const std::string& service,
                                                       const StepRequest& step,
                                                       const Exclusion& unusable) {
  std::vector<StepCandidate> candidates;
  candidates.reserve(workers_.size());
  for (auto& [agent, view] : workers_) {
    if (!MayTakeWork(view, service) || !view.MeetsRequirements(step)) continue;
    if (unusable && unusable(agent)) continue;
    StepCandidate& candidate = candidates.emplace_back();
    candidate.agent = &agent;
    candidate.view = &view;
    Evaluate(step, candidate);
  }
  return candidates;
}

void WorkerFleet::Evaluate(const StepRequest& step, StepCandidate& candidate) const {
  const WorkerView& view = *candidate.view;
  candidate.start_delay = view.StartDelay(step.need);
  candidate.run_time = view.RunTime(step, far_factor_);
  candidate.cost =
      candidate.start_delay + candidate.run_time + view.FailurePenalty(candidate.run_time);
  if (view.description().data_centre != data_centre_) candidate.cost += kOtherDataCentreDelay;
  // Plus one, so that a full backend server has a small weight and not none.
  const double free = static_cast<double>(view.AvailableCpu()) + 1.0;
  candidate.weight = free * free;
}

std::optional<PlacementChoice> WorkerFleet::ChooseFrom(const std::vector<StepCandidate>& candidates,
                                                       const std::set<std::string>& excluded,
                                                       const Exclusion& full) {
  auto choice = Draw(candidates, excluded, full);
  if (!choice && !excluded.empty()) choice = Draw(candidates, {}, full);
  return choice;
}

std::optional<PlacementChoice> WorkerFleet::Draw(const std::vector<StepCandidate>& candidates,
                                                 const std::set<std::string>& excluded,
                                                 const Exclusion& full) {
  drawn_from_.clear();
  core::Duration best = core::Duration::max();
  for (const StepCandidate& it : candidates) {
    if (it.cost > best && it.cost - best > kCostTolerance) continue;
    if (!excluded.empty() && excluded.contains(*it.agent)) continue;
    if (full && full(*it.agent)) continue;
    best = std::min(best, it.cost);
    drawn_from_.push_back(&it);
  }
  if (drawn_from_.empty()) return std::nullopt;
  std::erase_if(drawn_from_,
                [best](const StepCandidate* it) { return it->cost > best + kCostTolerance; });
  double total = 0;
  for (const StepCandidate* it : drawn_from_) total += it->weight;
  const StepCandidate* chosen = drawn_from_.back();
  if (drawn_from_.size() > 1) {
    // std::discrete_distribution allocates memory for each draw.
    constexpr std::size_t kDoubleBits = 53;
    const double drawn = std::generate_canonical<double, kDoubleBits>(random_);
    double sum = 0;
    for (const StepCandidate* it : drawn_from_) {
      sum += it->weight / total;
      if (sum < drawn) continue;
      chosen = it;
      break;
    }
  }
  return PlacementChoice{*chosen->agent, chosen->start_delay, chosen->run_time,
                         chosen->view->state_time()};
}

void WorkerFleet::OnOrder(const std::string& agent, const StepRequest& step,
                          std::vector<StepCandidate>& candidates) {
  Get(agent).OnOrder(step.need, step.estimate);
  const auto it = std::find_if(candidates.begin(), candidates.end(),
                               [&agent](const StepCandidate& c) { return *c.agent == agent; });
  if (it != candidates.end()) Evaluate(step, *it);
}

bool WorkerFleet::MayTakeWork(const WorkerView& view, const std::string& service) const {
  return view.Serves(service) &&
         (evacuated_.empty() || !evacuated_.contains(view.description().data_centre));
}

std::uint64_t WorkerFleet::Capacity(const std::string& service, const Exclusion& unusable) const {
  std::uint64_t millicores = 0;
  for (const auto& [agent, view] : workers_) {
    if (!MayTakeWork(view, service) || (unusable && unusable(agent))) continue;
    millicores += view.description().total.cpu_millicores;
  }
  return millicores;
}

core::Duration WorkerFleet::Backlog(const std::string& service, const Exclusion& unusable) const {
  std::uint64_t work = 0;
  std::uint64_t millicores = 0;
  for (const auto& [agent, view] : workers_) {
    if (!MayTakeWork(view, service) || (unusable && unusable(agent))) continue;
    work += view.state().queued_work;
    millicores += view.description().total.cpu_millicores;
  }
  return millicores == 0 ? core::Duration::zero() : std::chrono::milliseconds(work / millicores);
}

std::size_t WorkerFleet::CountSuitable(const std::vector<std::string>& agents,
                                       const StepRequest& step, const Exclusion& unusable) const {
  return static_cast<std::size_t>(
      std::count_if(agents.begin(), agents.end(), [&](const std::string& it) {
        return workers_.at(it).MeetsRequirements(step) && !(unusable && unusable(it));
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
