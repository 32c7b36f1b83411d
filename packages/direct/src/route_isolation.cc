#include "coltsfoottide/direct/route_isolation.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "coltsfoottide/direct/rendezvous_hash.h"

namespace coltsfoottide::direct {

namespace {

// Half-life of work in the demand of a route: long enough that the number of backend
// servers of a route does not follow single jobs.
constexpr std::chrono::duration<double> kDemandHalfLife = std::chrono::seconds(5);
// Time from the first job after which the shares of routes can be told.
constexpr core::Duration kSettleTime = std::chrono::seconds(2);
// Routes with less than this part of all work need no backend server of their own.
constexpr double kMinShare = 0.001;

// The agents in `crashed` first, each part by its rank for the route.
std::vector<std::string> Rank(const std::string& route, const std::vector<std::string>& agents,
                              const std::set<std::string>& crashed, std::size_t limit) {
  std::vector<std::string> first;
  std::vector<std::string> rest;
  for (const std::string& it : agents) (crashed.contains(it) ? first : rest).push_back(it);
  std::vector<std::string> chosen = HighestRanked(route, first, limit);
  for (std::string& it : HighestRanked(route, rest, limit - chosen.size())) {
    chosen.push_back(std::move(it));
  }
  return chosen;
}

}  // namespace

double RouteIsolation::Demand::At(core::TimePoint now) const {
  const std::chrono::duration<double> age = now - updated;
  return work * std::exp2(-std::max(age.count(), 0.0) / kDemandHalfLife.count());
}

void RouteIsolation::OnSubmit(const std::string& service, const std::string& route,
                              std::uint64_t work, core::TimePoint now) {
  if (!first_submit_) first_submit_ = now;
  Demand& demand = demands_[route];
  demand.work = demand.At(now) + static_cast<double>(work);
  demand.service = service;
  demand.updated = now;
}

void RouteIsolation::Isolate(const std::string& route, core::TimePoint until) {
  Isolation& isolation = isolated_[route];
  isolation.until = std::max(isolation.until, until);
}

void RouteIsolation::Adopt(const std::string& route, core::TimePoint until) {
  if (!IsIsolated(route)) isolated_[route] = {until, true, true, {}};
  Isolate(route, until);
}

void RouteIsolation::Extend(const std::string& agent, core::TimePoint until) {
  for (auto& [route, isolation] : isolated_) {
    if (isolation.agents.contains(agent)) isolation.until = std::max(isolation.until, until);
  }
}

void RouteIsolation::Assign(const std::map<std::string, std::vector<std::string>>& agents,
                            const std::set<std::string>& crashed, core::TimePoint now) {
  std::erase_if(isolated_, [now](const auto& it) { return now >= it.second.until; });
  confined_.clear();
  for (auto& [route, isolation] : isolated_) isolation.agents.clear();
  if (isolated_.empty()) return;
  for (const auto& [service, names] : agents) AssignService(service, names, crashed, now);
}

// Each route gets its share of the agents, rounded up on the sum of the shares so far, since
// few backend servers even out a varying load less. Others keep at least one if they have
// work.
void RouteIsolation::AssignService(const std::string& service, std::vector<std::string> agents,
                                   const std::set<std::string>& crashed, core::TimePoint now) {
  double total = 0;
  double others = 0;
  for (const auto& [route, demand] : demands_) {
    if (demand.service != service) continue;
    total += demand.At(now);
    if (!IsIsolated(route)) others += demand.At(now);
  }
  if (total <= 0) return;
  const std::size_t kept = others > total * kMinShare ? 1 : 0;
  const std::size_t all = agents.size();
  const auto crashed_here = static_cast<std::size_t>(std::count_if(
      agents.begin(), agents.end(), [&](const std::string& it) { return crashed.contains(it); }));
  double share = 0;
  std::size_t assigned = 0;
  for (auto& [route, isolation] : isolated_) {
    const auto demand = demands_.find(route);
    if (demand == demands_.end() || demand->second.service != service) continue;
    share += demand->second.At(now) / total;
    const auto until = static_cast<std::size_t>(std::ceil(share * static_cast<double>(all)));
    std::size_t left = all - std::min(all, assigned + kept);
    isolation.pending = isolation.adopted && crashed_here == 0;
    if (isolation.adopted && !IsSettled(now)) {
      left = std::min(left, crashed_here - std::min(crashed_here, assigned));
    }
    const std::size_t wanted = std::max<std::size_t>(until, assigned + 1) - assigned;
    for (const std::string& it : Rank(route, agents, crashed, std::min(wanted, left))) {
      isolation.agents.insert(it);
      confined_.insert(it);
      std::erase(agents, it);
      ++assigned;
    }
  }
}

// A route that is isolated but has got no backend server, as in a fleet of one, uses
// what all use.
bool RouteIsolation::MayUse(const std::string& route, const std::string& agent) const {
  const auto it = isolated_.find(route);
  if (it != isolated_.end() && !it->second.agents.empty()) return it->second.agents.contains(agent);
  return !confined_.contains(agent);
}

bool RouteIsolation::IsSettled(core::TimePoint now) const {
  return first_submit_ && now - *first_submit_ >= kSettleTime;
}

bool RouteIsolation::IsPending(const std::string& route, core::TimePoint now) const {
  const auto it = isolated_.find(route);
  return it != isolated_.end() && it->second.pending && !IsSettled(now);
}

std::string RouteIsolation::ServiceOf(const std::string& route) const {
  const auto it = demands_.find(route);
  return it == demands_.end() ? "" : it->second.service;
}

std::map<std::string, core::TimePoint> RouteIsolation::ends() const {
  std::map<std::string, core::TimePoint> ends;
  for (const auto& [route, isolation] : isolated_) ends[route] = isolation.until;
  return ends;
}

std::map<std::string, std::set<std::string>> RouteIsolation::isolated() const {
  std::map<std::string, std::set<std::string>> routes;
  for (const auto& [route, isolation] : isolated_) routes[route] = isolation.agents;
  return routes;
}

}  // namespace coltsfoottide::direct
