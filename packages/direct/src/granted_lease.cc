#include "coltsfoottide/direct/granted_lease.h"

#include <algorithm>

namespace coltsfoottide::direct {

GrantedLease::GrantedLease(core::Duration clock_error) : clock_error_(clock_error) {}

std::uint64_t GrantedLease::OnSent(core::TimePoint end) {
  pending_[++last_call_] = end;
  return last_call_;
}

void GrantedLease::OnSettled(std::uint64_t call) {
  const auto it = pending_.find(call);
  if (it == pending_.end()) return;
  Note(it->second);
  pending_.erase(it);
}

void GrantedLease::OnRefused(std::uint64_t call) { pending_.erase(call); }

void GrantedLease::OnNextIncarnation() {
  for (const auto& [call, end] : pending_) Note(end);
  pending_.clear();
  latest_end_ = {};
}

core::TimePoint GrantedLease::LatestEnd() const {
  core::TimePoint latest = latest_end_;
  for (const auto& [call, end] : pending_) latest = std::max(latest, end);
  return latest;
}

bool GrantedLease::HasEnded(core::TimePoint now) const {
  return now > std::max(latest_end_of_any_, LatestEnd()) + clock_error_;
}

void GrantedLease::Note(core::TimePoint end) {
  latest_end_ = std::max(latest_end_, end);
  latest_end_of_any_ = std::max(latest_end_of_any_, end);
}

}  // namespace coltsfoottide::direct
