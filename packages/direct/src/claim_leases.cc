#include "coltsfoottide/direct/claim_leases.h"

#include <algorithm>

#include "coltsfoottide/direct/time_bounds.h"

namespace coltsfoottide::direct {

void ClaimLeases::Extend(const std::string& job, core::TimePoint confirmed_at) {
  const auto [it, added] = confirmed_at_.try_emplace(job, confirmed_at);
  it->second = std::max(it->second, confirmed_at);
  // TakeExpired finds the new end of a lease that is extended when the former one is due.
  if (added) check_due_ = std::min(check_due_, confirmed_at + kClaimLease);
}

bool ClaimLeases::EndsBy(const std::string& job, core::TimePoint time) const {
  const auto it = confirmed_at_.find(job);
  return it != confirmed_at_.end() && it->second + kClaimLease <= time;
}

std::vector<std::string> ClaimLeases::TakeExpired(core::TimePoint now) {
  std::vector<std::string> expired;
  if (now < check_due_) return expired;
  check_due_ = core::TimePoint::max();
  for (auto it = confirmed_at_.begin(); it != confirmed_at_.end();) {
    const core::TimePoint end = it->second + kClaimLease;
    if (now < end) {
      check_due_ = std::min(check_due_, end);
      ++it;
    } else {
      expired.push_back(it->first);
      it = confirmed_at_.erase(it);
    }
  }
  return expired;
}

}  // namespace coltsfoottide::direct
