#include "coltsfoottide/direct/stale_records.h"

#include <chrono>
#include <utility>

#include "coltsfoottide/direct/rendezvous_hash.h"

namespace coltsfoottide::direct {

namespace {

// Longer than the store takes to answer and to pass on the change, also while it is slow.
constexpr core::Duration kRetryInterval = std::chrono::seconds(2);

}  // namespace

void StaleRecords::OnRecord(const std::string& entry, bool present) {
  if (present) {
    recorded_.insert(entry);
    return;
  }
  recorded_.erase(entry);
  stale_.erase(entry);
}

void StaleRecords::OnForgotten(const std::string& entry) {
  if (recorded_.contains(entry)) stale_.try_emplace(entry);
}

std::vector<std::string> StaleRecords::TakeDue(const std::string& self,
                                               const std::vector<std::string>& connected,
                                               core::TimePoint now) {
  std::vector<std::string> entries = connected;
  entries.push_back(self);
  std::vector<std::string> due;
  for (auto& [entry, next] : stale_) {
    if (now < next || HighestRanked(entry, entries, 1).front() != self) continue;
    next = now + kRetryInterval;
    due.push_back(entry);
  }
  return due;
}

}  // namespace coltsfoottide::direct
