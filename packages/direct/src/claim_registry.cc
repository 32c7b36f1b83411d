#include "coltsfoottide/direct/claim_registry.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/claim_registry_sink.h"
#include "coltsfoottide/direct/claim_release.h"
#include "coltsfoottide/direct/claim_verdict.h"
#include "coltsfoottide/direct/job_claim.h"
#include "coltsfoottide/direct/rival_claim.h"
#include "coltsfoottide/direct/time_bounds.h"

namespace coltsfoottide::direct {

void ClaimRegistry::SendVerdict(const std::string& job, const Claimant& claimant,
                                ClaimVerdict verdict) {
  verdict.job = job;
  verdict.number = claimant.number;
  verdict.claim_sent_at = claimant.sent_at;
  sink_.SendVerdict(claimant.entry, verdict);
}

void ClaimRegistry::OnClaim(const std::string& entry, const JobClaim& claim, core::TimePoint now) {
  using Kind = ClaimVerdict::Kind;
  const Claimant claimant{entry, claim.number, claim.held, claim.wait, claim.sent_at};
  const auto [it, added] = records_.try_emplace(claim.job);
  Record& record = it->second;
  if (added) {
    record.holder = claimant;
    return SendVerdict(claim.job, claimant, {"", 0, Kind::kGranted, IsComplete(now), entry, {}});
  }
  if (record.outcome) {
    return SendVerdict(claim.job, claimant, {"", 0, Kind::kEnded, false, "", *record.outcome});
  }
  // A claim of an entry that has restarted does not renew that of its earlier process.
  const bool renews = record.holder.number == claim.number || !record.lapses;
  if (record.holder.entry == entry && renews) {
    record.holder = claimant;
    record.lapses.reset();
    if (claim.held) DismissHeld(claim.job, record);
    return SendVerdict(claim.job, claimant, {"", 0, Kind::kGranted, false, entry, {}});
  }
  Queue(claim.job, record, claimant);
  if (HasLapsed(record, now)) return Lapse(claim.job);
  const Claimant holder = record.holder;
  const bool connected = !record.lapses;
  if (!claim.held) {
    SendVerdict(claim.job, claimant, {"", 0, Kind::kTaken, false, holder.entry, {}});
  } else if (holder.held) {
    return DismissHeld(claim.job, record);
  }
  // A holder that does not coordinate the job yet gives way to one that does.
  if (connected) SendRival(claim.job, holder, claimant);
}

void ClaimRegistry::SendRival(const std::string& job, const Claimant& holder,
                              const Claimant& other) {
  sink_.SendRival(holder.entry, {job, holder.number, other.entry, other.held, other.wait});
}

void ClaimRegistry::DismissHeld(const std::string& job, Record& record) {
  std::vector<Claimant> held;
  for (const Claimant& it : record.waiting) {
    if (it.held) held.push_back(it);
  }
  std::erase_if(record.waiting, [](const Claimant& it) { return it.held; });
  const std::string holder = record.holder.entry;
  for (const Claimant& it : held) {
    SendVerdict(job, it, {"", 0, ClaimVerdict::Kind::kTaken, false, holder, {}});
  }
}

void ClaimRegistry::Queue(const std::string& job, Record& record, const Claimant& claimant) {
  std::erase_if(record.waiting,
                [&claimant](const Claimant& it) { return it.entry == claimant.entry; });
  if (claimant.held) {
    record.waiting.insert(record.waiting.begin(), claimant);
  } else {
    record.waiting.push_back(claimant);
  }
  watched_.insert(job);
}

void ClaimRegistry::OnRelease(const std::string& entry, const ClaimRelease& release,
                              core::TimePoint now) {
  const auto matches = [&](const Claimant& it) {
    return it.entry == entry && it.number == release.number;
  };
  const auto found = records_.find(release.job);
  if (found == records_.end() && !release.outcome) return;
  if (found != records_.end() && !matches(found->second.holder)) {
    std::erase_if(found->second.waiting, matches);
    return;
  }
  if (found != records_.end() && found->second.outcome) return;
  if (!release.outcome) return PassOn(release.job);
  Record& record = records_[release.job];
  record.outcome = release.outcome;
  record.lapses.reset();
  ended_.push_back({release.job, now});
  watched_.erase(release.job);
  for (const Claimant& it : std::exchange(record.waiting, {})) {
    SendVerdict(release.job, it, {"", 0, ClaimVerdict::Kind::kEnded, false, "", *record.outcome});
  }
}

void ClaimRegistry::PassOn(const std::string& job) {
  const auto it = records_.find(job);
  Record& record = it->second;
  record.lapses.reset();
  if (record.waiting.empty()) {
    watched_.erase(job);
    records_.erase(it);
    return;
  }
  record.holder = record.waiting.front();
  record.waiting.erase(record.waiting.begin());
  if (record.waiting.empty()) watched_.erase(job);
  const Claimant holder = record.holder;
  const std::vector<Claimant> waiting = record.waiting;
  SendVerdict(job, holder, {"", 0, ClaimVerdict::Kind::kGranted, false, holder.entry, {}});
  for (const Claimant& it : waiting) {
    if (!it.held) {
      SendVerdict(job, it, {"", 0, ClaimVerdict::Kind::kTaken, false, holder.entry, {}});
    }
    SendRival(job, holder, it);
  }
}

void ClaimRegistry::Lapse(const std::string& job) {
  const Record& record = records_.at(job);
  const Claimant lapsed = record.holder;
  const std::string next = record.waiting.empty() ? "" : record.waiting.front().entry;
  PassOn(job);
  // If the former holder only stood still, it reads that it no longer coordinates the job.
  if (!next.empty() && next != lapsed.entry) {
    SendVerdict(job, lapsed, {"", 0, ClaimVerdict::Kind::kTaken, false, next, {}});
  }
}

bool ClaimRegistry::HasLapsed(const Record& record, core::TimePoint now) const {
  if (record.lapses && now >= *record.lapses) return true;
  const auto it = peers_.find(record.holder.entry);
  return it != peers_.end() &&
         now - std::max(it->second.heard, resumed_at_) >= tuning_.silent_limit;
}

bool ClaimRegistry::IsComplete(core::TimePoint now) const {
  const core::Duration unread = now - previous_advance_;
  return now >= complete_from_ &&
         now - oldest_stamp_ + unread <= tuning_.stamp_interval + kMaxReadingDelay;
}

void ClaimRegistry::OnHeard(const std::string& entry, core::TimePoint now) {
  const auto [it, connected] = peers_.try_emplace(entry, Peer{now, now});
  it->second.heard = now;
  if (connected) complete_from_ = now + tuning_.silent_limit;
}

void ClaimRegistry::OnStamp(const std::string& entry, core::TimePoint now) {
  const auto it = peers_.find(entry);
  if (it != peers_.end()) it->second.stamped = now;
}

void ClaimRegistry::OnDisconnected(const std::string& entry, core::TimePoint now) {
  complete_from_ = now + tuning_.silent_limit;
  core::TimePoint lapses = now + tuning_.disconnected_limit;
  if (const auto it = peers_.find(entry); it != peers_.end()) {
    lapses = std::min(lapses, it->second.heard + tuning_.silent_limit);
    peers_.erase(it);
  }
  for (auto& [job, record] : records_) {
    std::erase_if(record.waiting, [&entry](const Claimant& it) { return it.entry == entry; });
    if (record.holder.entry != entry || record.outcome || record.lapses) continue;
    record.lapses = lapses;
    watched_.insert(job);
  }
}

void ClaimRegistry::Advance(core::TimePoint now) {
  if (complete_from_ == core::TimePoint::max()) complete_from_ = now + tuning_.silent_limit;
  previous_advance_ = std::exchange(advanced_at_, now);
  oldest_stamp_ = now;
  for (const auto& [entry, peer] : peers_) oldest_stamp_ = std::min(oldest_stamp_, peer.stamped);
  const std::vector<std::string> watched(watched_.begin(), watched_.end());
  for (const std::string& job : watched) {
    const auto it = records_.find(job);
    const bool contested = it != records_.end() && !it->second.waiting.empty();
    if (it == records_.end() || (!contested && !it->second.lapses)) {
      watched_.erase(job);
      continue;
    }
    if (HasLapsed(it->second, now)) Lapse(job);
  }
  while (!ended_.empty() && now - ended_.front().time > kOutcomeRetention) {
    records_.erase(ended_.front().job);
    ended_.pop_front();
  }
}

}  // namespace coltsfoottide::direct
