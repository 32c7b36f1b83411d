#include "coltsfoottide/direct/worker_fleet.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/slowness.h"

namespace coltsfoottide::direct {

namespace {

// One network round trip between data centres. Orders within the own data
// centre also save traffic between them.
constexpr core::Duration kOtherDataCentreDelay = std::chrono::milliseconds(4);
// Differences in expected end below this are within the error of the estimates,
// so the backend servers count as equal.
constexpr core::Duration kCostTolerance = std::chrono::milliseconds(3);
// The median of fewer other backend servers could be that of a single odd one.
constexpr std::size_t kMinOthers = 3;
// Bound on a difference in speed, either way: beyond it the measurement says more
// about a fault, which `slowness` covers, than about the machine.
constexpr double kMaxSpeedDifference = 4.0;
// Weight of the start delay in the cost while the backend servers of a service
// differ in speed: a task that waits at a fast one also delays those behind it,
// one that takes a free slow one delays none. See
// docs/design/uneven-backend-servers.md.
constexpr int kUnevenDelayWeight = 2;
// Run time, in multiples of the estimate, beyond which a backend server with free
// resources is no alternative to waiting.
constexpr int kMaxRunTimeFactor = 3;

// Median of the sorted values without the one at `skipped`; there are at least two.
double MedianWithout(const std::vector<double>& sorted, std::size_t skipped) {
  const auto at = [&](std::size_t i) { return sorted[i < skipped ? i : i + 1]; };
  const std::size_t n = sorted.size() - 1;
  return n % 2 != 0 ? at(n / 2) : (at(n / 2 - 1) + at(n / 2)) / 2;
}

}  // namespace

WorkerFleet::WorkerFleet(std::string data_centre, double far_factor, std::uint64_t seed)
    : data_centre_(std::move(data_centre)), far_factor_(far_factor), random_(seed) {}

void WorkerFleet::CompareSpeeds() {
  uneven_services_.clear();
  std::map<std::string, std::vector<double>> ratios;
  for (const auto& [agent, view] : workers_) {
    if (view.connected() && view.state().run_time_ratio > 0) {
      ratios[view.description().service].push_back(view.state().run_time_ratio);
    }
  }
  for (auto& [service, sorted] : ratios) std::sort(sorted.begin(), sorted.end());
  for (auto& [agent, view] : workers_) {
    view.set_relative_run_time(1.0);
    const double ratio = view.state().run_time_ratio;
    if (!view.connected() || ratio <= 0) continue;
    const std::vector<double>& sorted = ratios[view.description().service];
    if (sorted.size() <= kMinOthers) continue;
    const auto at = std::lower_bound(sorted.begin(), sorted.end(), ratio) - sorted.begin();
    const double factor = ratio / MedianWithout(sorted, static_cast<std::size_t>(at));
    const bool counts =
        factor > kMinSignificantSpeedDifference || factor < 1.0 / kMinSignificantSpeedDifference;
    if (!counts) continue;
    uneven_services_.insert(view.description().service);
    view.set_relative_run_time(std::clamp(factor, 1.0 / kMaxSpeedDifference, kMaxSpeedDifference));
  }
}

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
  const bool uneven = uneven_services_.contains(service);
  for (auto& [agent, view] : workers_) {
    if (!MayTakeWork(view, service) || !view.MeetsRequirements(step)) continue;
    if (unusable && unusable(agent)) continue;
    StepCandidate& candidate = candidates.emplace_back();
    candidate.agent = &agent;
    candidate.view = &view;
    candidate.uneven = uneven;
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
  if (candidate.uneven) candidate.cost += candidate.start_delay * (kUnevenDelayWeight - 1);
  if (view.description().data_centre != data_centre_) candidate.cost += kOtherDataCentreDelay;
  const bool tolerable =
      candidate.cost - candidate.start_delay <= step.estimate * kMaxRunTimeFactor;
  candidate.tolerable_delay = tolerable ? candidate.start_delay : core::Duration::max();
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
  core::Duration least_delay = core::Duration::max();
  for (const StepCandidate& it : candidates) {
    const bool costly = it.cost > best && it.cost - best > kCostTolerance;
    if (costly && !it.uneven) continue;
    if (!excluded.empty() && excluded.contains(*it.agent)) continue;
    if (full && full(*it.agent)) continue;
    if (it.uneven) least_delay = std::min(least_delay, it.tolerable_delay);
    if (costly) continue;
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
                         std::min(chosen->start_delay, least_delay), chosen->view->state_time()};
}

void WorkerFleet::OnOrder(const std::string& agent, const StepRequest& step, std::uint32_t priority,
                          std::vector<StepCandidate>& candidates) {
  Get(agent).OnOrder(step.need, step.estimate, priority);
  const auto it = std::find_if(candidates.begin(), candidates.end(),
                               [&agent](const StepCandidate& c) { return *c.agent == agent; });
  if (it != candidates.end()) Evaluate(step, *it);
}

bool WorkerFleet::EndsSoonerAt(const std::string& agent, const StepRequest& step,
                               const PlacementChoice& choice) const {
  const WorkerView& here = workers_.at(agent);
  if (workers_.at(choice.agent).relative_run_time() <= here.relative_run_time()) return false;
  return here.StartDelay(step.need) + here.RunTime(step, far_factor_) <=
         choice.start_delay + choice.run_time;
}

bool WorkerFleet::MayTakeWork(const WorkerView& view, const std::string& service) const {
  return view.Serves(service) &&
         (evacuated_.empty() || !evacuated_.contains(view.description().data_centre));
}

std::uint64_t WorkerFleet::Capacity(const std::string& service, const Exclusion& unusable) const {
  std::uint64_t millicores = 0;
  for (const auto& [agent, view] : workers_) {
    if (!MayTakeWork(view, service) || (unusable && unusable(agent))) continue;
    millicores += view.EffectiveCpu();
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

core::Duration WorkerFleet::LessUrgentBacklog(const std::string& service, std::uint32_t priority,
                                              const Exclusion& unusable) const {
  std::uint64_t work = 0;
  for (const auto& [agent, view] : workers_) {
    if (!MayTakeWork(view, service) || (unusable && unusable(agent))) continue;
    work += view.LessUrgentWork(priority);
  }
  const std::uint64_t millicores = Capacity(service, unusable);
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
