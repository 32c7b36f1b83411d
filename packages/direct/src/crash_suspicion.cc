#include "coltsfoottide/direct/crash_suspicion.h"

#include <algorithm>
#include <chrono>

namespace coltsfoottide::direct {

namespace {

// How long a route is under suspicion after the last finding.
constexpr core::Duration kSuspicionTime = std::chrono::seconds(10);
// A run had a similar time if it was at most this multiple of the known one; the
// notice of a crash comes 10 to 40 ms late.
constexpr int kSimilarFactor = 2;

}  // namespace

void CrashSuspicion::OnCause(const std::string& route, core::Duration ran_for,
                             core::TimePoint time) {
  const bool recent = routes_.contains(route) && time - routes_[route].time < kSuspicionTime;
  Route& known = routes_[route];
  known.ran_for = recent ? std::max(known.ran_for, ran_for) : ran_for;
  known.time = std::max(known.time, time);
}

void CrashSuspicion::Extend(const std::string& route, core::TimePoint time) {
  const auto it = routes_.find(route);
  if (it != routes_.end()) it->second.time = std::max(it->second.time, time);
}

bool CrashSuspicion::IsSuspect(const std::string& route, core::Duration ran_for,
                               core::TimePoint now) const {
  const auto it = routes_.find(route);
  if (it == routes_.end() || now - it->second.time >= kSuspicionTime) return false;
  return ran_for <= it->second.ran_for * kSimilarFactor;
}

std::map<std::string, CrashSuspicion::Route> CrashSuspicion::Routes(core::TimePoint now) const {
  std::map<std::string, Route> suspected;
  for (const auto& [name, route] : routes_) {
    if (now - route.time < kSuspicionTime) suspected[name] = route;
  }
  return suspected;
}

}  // namespace coltsfoottide::direct
