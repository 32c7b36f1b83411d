#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/entry_sink.h"
#include "coltsfoottide/direct/job_dispatcher.h"
#include "job.h"

// What an entry does about crashes of backend servers: tasks that cause them are given
// up, and their routes confined to a part of the fleet.
namespace coltsfoottide::direct {

namespace {

// A route stays isolated for this long after the last crash.
constexpr core::Duration kIsolationTime = std::chrono::seconds(10);
// A route is isolated if this percentage of the backend servers of its service is down
// after crashes when one of its tasks is found to crash them. With less, confinement
// costs its callers more than the crashes cost others.
constexpr std::size_t kHarmfulDownPercent = 25;
constexpr std::size_t kWhole = 100;
// A backend server that has crashed keeps its place in the fleet for this long.
constexpr core::Duration kReturnTime = std::chrono::seconds(10);
// Interval at which the backend servers of isolated routes are chosen anew.
constexpr core::Duration kAssignInterval = std::chrono::milliseconds(100);

// Number of backend servers without which the step can never run as a whole.
std::size_t ServersNeeded(const StepRequest& step) {
  const std::size_t limit = step.max_per_worker;
  return limit == 0 ? 1 : (step.count + limit - 1) / limit;
}

}  // namespace

void JobDispatcher::OnWorkerCrash(const std::string& agent, const WorkerCrash& crash,
                                  core::TimePoint now) {
  if (crash.kind != WorkerCrash::Kind::kRetracted) {
    fleet_.Get(agent).OnCrash();
    isolation_.Extend(agent, crash.time + kIsolationTime);
  }
  RecordCrash(agent, crash, now);
  if (const auto route = crash_correlation_.OnCrash(agent, crash)) {
    crashing_routes_.OnFound(*route, crash.time);
    sink_.OnCrashingRoute(*route);
  }
  IsolateHarmfulRoutes(now);
}

void JobDispatcher::RecordCrash(const std::string& agent, const WorkerCrash& crash,
                                core::TimePoint now) {
  for (const CrashVerdict& verdict : crash_history_.OnCrash(agent, crash)) {
    sink_.OnCrashVerdict(verdict, crash_history_.CountCrashes(verdict.task));
    const auto it = jobs_.find(verdict.task.job);
    if (it == jobs_.end()) continue;
    if (verdict.proven) {
      const std::string& route = it->second->request.route;
      crashing_routes_.OnFound(route, crash.time);
      sink_.OnCrashingRoute(route);
    }
    if (!it->second->finished) FinishByVerdict(*it->second, verdict, now);
    RemoveIfEnded(verdict.task.job, now);
  }
}

void JobDispatcher::OnCrashingRoute(const std::string& route, core::TimePoint time,
                                    core::TimePoint now) {
  crashing_routes_.OnFound(route, time);
  IsolateHarmfulRoutes(now);
}

void JobDispatcher::OnPeerIsolation(const std::string& route, core::TimePoint last_crash,
                                    core::TimePoint now) {
  isolation_.Adopt(route, last_crash + kIsolationTime);
  AssignIsolated(now);
}

std::map<std::string, core::TimePoint> JobDispatcher::IsolatedRoutes(core::TimePoint now) const {
  std::map<std::string, core::TimePoint> routes;
  for (const auto& [route, until] : isolation_.ends()) {
    if (now < until) routes[route] = until - kIsolationTime;
  }
  return routes;
}

void JobDispatcher::IsolateHarmfulRoutes(core::TimePoint now) {
  const auto routes = crashing_routes_.Recent(now);
  if (routes.empty()) return;
  const std::set<std::string> crashed = crash_history_.CrashedSince(now - kReturnTime);
  auto expected = fleet_.AgentsByService(crashed);
  auto present = fleet_.AgentsByService({});
  for (const auto& [route, found] : routes) {
    const std::string service = isolation_.ServiceOf(route);
    const std::size_t all = expected[service].size();
    const std::size_t down = all - present[service].size();
    if (down == 0 || down * kWhole < all * kHarmfulDownPercent) continue;
    isolation_.Isolate(route, now + kIsolationTime);
  }
  AssignIsolated(now);
}

WorkerFleet::Exclusion JobDispatcher::OutsideIsolation(const Job& job) const {
  return [this, &job](const std::string& agent) {
    return !isolation_.MayUse(job.request.route, agent);
  };
}

bool JobDispatcher::IsLimited(const Job& job, const StepRequest& step) const {
  const auto agents = expected_agents_.find(job.request.service);
  if (!isolation_.active() || agents == expected_agents_.end()) return false;
  const std::size_t needed = ServersNeeded(step);
  return fleet_.CountSuitable(agents->second, step, OutsideIsolation(job)) >= needed;
}

WorkerFleet::Exclusion JobDispatcher::UnusableFor(const Job& job, const StepRequest& step) const {
  if (IsLimited(job, step)) return OutsideIsolation(job);
  return {};
}

void JobDispatcher::AssignIsolated(core::TimePoint now) {
  assign_due_ = now + kAssignInterval;
  const std::set<std::string> crashed = crash_history_.CrashedSince(now - kReturnTime);
  expected_agents_ = fleet_.AgentsByService(crashed);
  isolation_.Assign(expected_agents_, crashed, now);
  auto isolated = isolation_.isolated();
  for (const auto& [route, agents] : reported_isolation_) {
    if (!isolated.contains(route)) sink_.OnIsolationChanged(route, {});
  }
  for (const auto& [route, agents] : isolated) {
    const auto reported = reported_isolation_.find(route);
    const bool same = reported != reported_isolation_.end() && reported->second == agents;
    if (!same) sink_.OnIsolationChanged(route, agents);
  }
  reported_isolation_ = std::move(isolated);
}

void JobDispatcher::FinishByVerdict(Job& job, const CrashVerdict& verdict, core::TimePoint now) {
  const auto kind = verdict.proven ? JobOutcome::Kind::kFailed : JobOutcome::Kind::kMayHaveRun;
  Finish(job, {kind, "crashes backend servers", {}, {}}, now);
}

}  // namespace coltsfoottide::direct
