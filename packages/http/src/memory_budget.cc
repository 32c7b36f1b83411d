#include "coltsfoottide/http/memory_budget.h"

#include <algorithm>
#include <tuple>

namespace coltsfoottide::http {

namespace {

// Part of the budget that large bodies may not use, so that small requests are served while
// large ones fill the rest.
constexpr std::size_t kSmallPart = 4;
// Part of the budget that is freed when it is exceeded, so that the cost of looking at all
// connections is spread over many bytes.
constexpr std::size_t kFreedPart = 8;

}  // namespace

void MemoryBudget::Add(MemoryHolder& holder, Clock::time_point now) {
  accounts_.try_emplace(&holder).first->second.since = now;
}

void MemoryBudget::Remove(MemoryHolder& holder) {
  const auto it = accounts_.find(&holder);
  if (it == accounts_.end()) return;
  held_ -= it->second.bytes;
  if (it->second.closing) closing_ -= it->second.bytes;
  if (it->second.wanted > 0) std::erase(waiting_, &holder);
  accounts_.erase(it);
}

void MemoryBudget::Set(MemoryHolder& holder, std::size_t bytes, bool in_progress,
                       Clock::time_point now) {
  const auto it = accounts_.find(&holder);
  if (it == accounts_.end()) return;
  Account& account = it->second;
  if (bytes > kSmallBytes && account.bytes <= kSmallBytes) account.since = now;
  held_ = held_ - account.bytes + bytes;
  if (account.closing) closing_ = closing_ - account.bytes + bytes;
  account.bytes = bytes;
  account.in_progress = in_progress;
}

bool MemoryBudget::Reserve(MemoryHolder& holder, std::size_t bytes, Clock::time_point now) {
  const auto it = accounts_.find(&holder);
  if (it == accounts_.end() || it->second.wanted > 0) return false;
  if (waiting_.empty() && Fits(bytes)) {
    Set(holder, it->second.bytes + bytes, it->second.in_progress, now);
    return true;
  }
  it->second.wanted = bytes;
  waiting_.push_back(&holder);
  return false;
}

bool MemoryBudget::Fits(std::size_t bytes) const {
  return held_ + bytes <= limit_ - limit_ / kSmallPart;
}

void MemoryBudget::ReclaimExcess(Clock::time_point now) {
  if (!IsExceeded()) return;
  const std::size_t target = limit_ - limit_ / kFreedPart;
  Reclaim(target, false, Clock::duration::zero(), now);
  if (IsExceeded()) Reclaim(target, true, Clock::duration::zero(), now);
}

void MemoryBudget::Advance(Clock::time_point now) {
  ReclaimExcess(now);
  GrantWaiting(now);
  if (waiting_.empty()) return;
  const std::size_t wanted = accounts_.at(waiting_.front()).wanted;
  const std::size_t large_limit = limit_ - limit_ / kSmallPart;
  Reclaim(large_limit - std::min(wanted, large_limit), false, kMinHoldTime, now);
  GrantWaiting(now);
}

void MemoryBudget::GrantWaiting(Clock::time_point now) {
  while (!waiting_.empty()) {
    MemoryHolder* const holder = waiting_.front();
    Account& account = accounts_.at(holder);
    if (!account.closing && !Fits(account.wanted)) return;
    waiting_.pop_front();
    const std::size_t bytes = account.bytes + account.wanted;
    account.wanted = 0;
    if (account.closing) continue;
    Set(*holder, bytes, account.in_progress, now);
    holder->OnMemoryReserved();
  }
}

// Closes holders until those that remain hold at most `target` bytes. Requests in progress
// are closed only if `in_progress`, and large holders before small ones.
void MemoryBudget::Reclaim(std::size_t target, bool in_progress, Clock::duration min_age,
                           Clock::time_point now) {
  struct Candidate {
    // Bytes times milliseconds: of large holders, then of all.
    double large = 0;
    double any = 0;
    MemoryHolder* holder = nullptr;
  };
  std::vector<Candidate> candidates;
  for (const auto& [holder, account] : accounts_) {
    const Clock::duration age = now - account.since;
    const bool is_large = account.bytes > kSmallBytes;
    if (account.closing || account.in_progress != in_progress || account.bytes == 0) continue;
    if (min_age > Clock::duration::zero() && (!is_large || age < min_age)) continue;
    const double ms = std::max(std::chrono::duration<double, std::milli>(age).count(), 1.0);
    const double score = static_cast<double>(account.bytes) * ms;
    candidates.push_back({is_large ? score : 0.0, score, holder});
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.large, a.any) > std::tie(b.large, b.any);
  });
  std::vector<MemoryHolder*> victims;
  for (const Candidate& it : candidates) {
    if (held_ - closing_ <= target) break;
    Account& account = accounts_.at(it.holder);
    account.closing = true;
    closing_ += account.bytes;
    ++closed_;
    victims.push_back(it.holder);
  }
  // A callback may remove other holders.
  for (MemoryHolder* it : victims) {
    if (accounts_.contains(it)) it->OnMemoryReclaimed();
  }
}

}  // namespace coltsfoottide::http
