#include "coltsfoottide/direct/crashing_routes.h"

#include <algorithm>
#include <chrono>

namespace coltsfoottide::direct {

namespace {

// A route may be isolated for this long after the last finding.
constexpr core::Duration kRecent = std::chrono::seconds(10);

}  // namespace

void CrashingRoutes::OnFound(const std::string& route, core::TimePoint time) {
  core::TimePoint& last = last_found_[route];
  last = std::max(last, time);
}

std::map<std::string, core::TimePoint> CrashingRoutes::Recent(core::TimePoint now) const {
  std::map<std::string, core::TimePoint> recent;
  for (const auto& [route, time] : last_found_) {
    if (now - time < kRecent) recent[route] = time;
  }
  return recent;
}

}  // namespace coltsfoottide::direct
