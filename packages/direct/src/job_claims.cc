#include "coltsfoottide/direct/job_claims.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "coltsfoottide/direct/claim_release.h"
#include "coltsfoottide/direct/claim_verdict.h"
#include "coltsfoottide/direct/job_claim.h"
#include "coltsfoottide/direct/job_claims_sink.h"
#include "coltsfoottide/direct/job_outcome.h"
#include "coltsfoottide/direct/rendezvous_hash.h"
#include "coltsfoottide/direct/rival_claim.h"

namespace coltsfoottide::direct {

namespace {

constexpr std::size_t kRecorders = 2;
// An entry that has not answered for this long is not waited for. Several round trips between
// data centres.
constexpr core::Duration kAnswerLimit = std::chrono::milliseconds(60);
// A grant of a claim that was sent longer ago is not acted on: the process may have stood still
// since, and the claim may have lapsed.
constexpr core::Duration kGrantLifetime = std::chrono::seconds(1);
// Interval at which a coordinator renews its claims, so that it notices recorders that no longer
// answer before a caller can come back, after 1.3 s.
constexpr core::Duration kRenewalInterval = std::chrono::milliseconds(500);
// Time for which a claim waits for a recorder if none answers. A coordinator has noticed the same
// by then, at its next renewal, and has claimed the job at the next in rank.
constexpr core::Duration kRecorderWait = kRenewalInterval + 3 * kAnswerLimit;
// Time in which a coordinator that has lost a record of its claim claims the job elsewhere, or
// after which its runs are over if it was lost as well.
constexpr core::Duration kLostRecordWait = std::chrono::milliseconds(1250);
constexpr core::Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

JobClaims::JobClaims(std::string self, std::uint32_t first_number, JobClaimsSink& sink)
    : self_(std::move(self)), sink_(sink), next_number_(first_number), entries_({self_}) {}

bool JobClaims::IsPending(const std::string& job) const { return pending_.contains(job); }

void JobClaims::Claim(JobRequest request, core::TimePoint now) {
  const std::string job = request.id;
  ClaimState& claim = claims_[job];
  claim.number = next_number_++;
  claim.request = std::move(request);
  claim.claimed_at = now;
  pending_.insert(job);
  AskMissing(job, now);
  Settle(job, now);
}

void JobClaims::AskMissing(const std::string& job, core::TimePoint now) {
  ClaimState& claim = claims_.at(job);
  const bool taken = std::any_of(claim.answers.begin(), claim.answers.end(), [](const auto& it) {
    return it.second.state == Answer::State::kTaken;
  });
  if (taken) return;
  std::vector<std::string> ranked = HighestRanked(job, entries_, kRecorders + unresponsive_.size());
  std::vector<std::string> missing;
  std::size_t responsive = 0;
  for (const std::string& it : ranked) {
    if (responsive == kRecorders) break;
    const auto answer = claim.answers.find(it);
    const bool asked = answer != claim.answers.end();
    if (!asked) missing.push_back(it);
    const bool unresponsive =
        asked ? answer->second.state == Answer::State::kLate : unresponsive_.contains(it);
    if (!unresponsive) ++responsive;
  }
  ranked.resize(std::min(kRecorders, ranked.size()));
  claim.recorders = std::move(ranked);
  claim.ranked_at_change = changes_;
  // This entry records its own claims too, for others that ask it in place of a recorder.
  const bool ask_self = !claim.answers.contains(self_) &&
                        std::find(missing.begin(), missing.end(), self_) == missing.end();
  if (ask_self) missing.push_back(self_);
  Ask(job, missing, now);
}

void JobClaims::Ask(const std::string& job, const std::vector<std::string>& entries,
                    core::TimePoint now) {
  if (entries.empty()) return;
  ClaimState& claim = claims_.at(job);
  JobClaim message{job, claim.number, !claim.request, {}};
  if (claim.request) message.wait = claim.request->deadline - now;
  // All before the first is sent: this entry answers at once, and the others must be waited
  // for.
  for (const std::string& it : entries) {
    using State = Answer::State;
    claim.answers[it] = {unresponsive_.contains(it) ? State::kLate : State::kNone, false, now};
  }
  for (const std::string& it : entries) {
    if (it != self_) sink_.SendClaim(it, message);
  }
  const bool ask_self = std::find(entries.begin(), entries.end(), self_) != entries.end();
  if (ask_self) sink_.SendClaim(self_, message);
}

bool JobClaims::IsGrantedByRecorder(const ClaimState& claim, bool complete) {
  return std::any_of(claim.recorders.begin(), claim.recorders.end(), [&](const std::string& entry) {
    const auto it = claim.answers.find(entry);
    return it != claim.answers.end() && it->second.state == Answer::State::kGranted &&
           (it->second.complete || !complete);
  });
}

bool JobClaims::IsAgreed(const ClaimState& claim, core::TimePoint now) const {
  const auto any = [&claim](Answer::State state) {
    return std::any_of(claim.answers.begin(), claim.answers.end(),
                       [state](const auto& it) { return it.second.state == state; });
  };
  if (any(Answer::State::kTaken) || now < claim.not_before) return false;
  // An entry that has lost a connection may take others for the recorders than the coordinator.
  const auto own = claim.answers.find(self_);
  const bool certain = claim.ranked_at_change == changes_ && own != claim.answers.end() &&
                       own->second.complete && IsGrantedByRecorder(claim, true);
  if (certain) return true;
  if (any(Answer::State::kNone) || !any(Answer::State::kGranted)) return false;
  return now - claim.claimed_at >= kRecorderWait || IsGrantedByRecorder(claim, false);
}

std::vector<std::string> JobClaims::ExpiredGrants(const ClaimState& claim,
                                                  core::TimePoint now) const {
  std::vector<std::string> expired;
  for (const auto& [entry, answer] : claim.answers) {
    const bool granted = answer.state == Answer::State::kGranted;
    if (granted && entry != self_ && now - answer.asked_at > kGrantLifetime) {
      expired.push_back(entry);
    }
  }
  return expired;
}

void JobClaims::Settle(const std::string& job, core::TimePoint now) {
  const auto it = claims_.find(job);
  if (it == claims_.end() || !it->second.request || !connected_) return;
  ClaimState& claim = it->second;
  if (!IsAgreed(claim, now)) return;
  if (const auto expired = ExpiredGrants(claim, now); !expired.empty()) {
    return Ask(job, expired, now);
  }
  if (claim.ranked_at_change != changes_) {
    // The entries that rank highest now must agree as well.
    AskMissing(job, now);
    return Settle(job, now);
  }
  renewals_.push_back({now + kRenewalInterval, job, claim.number});
  JobRequest request = std::move(*claim.request);
  claim.request.reset();
  pending_.erase(job);
  request.may_have_run = request.may_have_run || claim.taken_elsewhere;
  sink_.OnGranted(std::move(request), now);
}

void JobClaims::OnVerdict(const std::string& entry, const ClaimVerdict& verdict,
                          core::TimePoint now) {
  using Kind = ClaimVerdict::Kind;
  const auto it = claims_.find(verdict.job);
  if (it == claims_.end() || it->second.number != verdict.number) return;
  ClaimState& claim = it->second;
  const auto answer = claim.answers.find(entry);
  if (answer == claim.answers.end()) return;
  if (verdict.kind == Kind::kGranted) {
    answer->second.state = Answer::State::kGranted;
    answer->second.complete = verdict.complete;
    return Settle(verdict.job, now);
  }
  if (!claim.request) return sink_.OnClaimLost(verdict.job, verdict.holder, now);
  if (verdict.kind == Kind::kEnded) return EndPending(verdict.job, verdict.outcome);
  answer->second.state = Answer::State::kTaken;
  if (!std::exchange(claim.taken_elsewhere, true))
    sink_.OnTakenElsewhere(verdict.job, verdict.holder);
}

void JobClaims::OnRival(const std::string& entry, const RivalClaim& message, core::TimePoint now) {
  const auto it = claims_.find(message.job);
  if (it == claims_.end() || it->second.number != message.number) {
    return sink_.SendRelease(entry, {message.job, message.number, std::nullopt});
  }
  const bool pending = it->second.request.has_value();
  // Two entries that each hold one of the two records of a job would wait for each other; the
  // one with the higher name gives way.
  if (pending && (message.held || self_ > message.entry)) return GiveWay(message.job, now);
  if (pending) return;
  // The record does not tell yet that this entry coordinates the job.
  if (message.held) return Ask(message.job, {entry}, now);
  sink_.OnAwaitedElsewhere(message, now);
}

void JobClaims::GiveWay(const std::string& job, core::TimePoint now) {
  ClaimState& claim = claims_.at(job);
  const ClaimState earlier = claim;
  claim.number = next_number_++;
  claim.answers.clear();
  SendReleases(job, earlier, std::nullopt);
  AskMissing(job, now);
  Settle(job, now);
}

void JobClaims::SendReleases(const std::string& job, const ClaimState& claim,
                             const std::optional<JobOutcome>& outcome) {
  for (const auto& [entry, answer] : claim.answers) {
    sink_.SendRelease(entry, {job, claim.number, outcome});
  }
}

void JobClaims::ExtendDeadline(const std::string& job, core::TimePoint deadline) {
  const auto it = claims_.find(job);
  if (it == claims_.end() || !it->second.request) return;
  it->second.request->deadline = std::max(it->second.request->deadline, deadline);
}

void JobClaims::Withdraw(const std::string& job) {
  if (pending_.contains(job)) Release(job, std::nullopt);
}

void JobClaims::Release(const std::string& job, const std::optional<JobOutcome>& outcome) {
  const auto it = claims_.find(job);
  if (it == claims_.end()) return;
  const ClaimState claim = std::move(it->second);
  claims_.erase(it);
  pending_.erase(job);
  SendReleases(job, claim, outcome);
}

void JobClaims::EndPending(const std::string& job, const JobOutcome& outcome) {
  Release(job, std::nullopt);
  sink_.OnOutcome(job, outcome);
}

void JobClaims::OnConnected(const std::string& entry, core::TimePoint now) {
  ++changes_;
  if (std::find(entries_.begin(), entries_.end(), entry) == entries_.end()) {
    entries_.push_back(entry);
  }
  unresponsive_.erase(entry);
  std::vector<std::string> jobs;
  for (auto& [job, claim] : claims_) {
    claim.answers.erase(entry);
    jobs.push_back(job);
  }
  for (const std::string& it : jobs) {
    if (claims_.contains(it)) AskMissing(it, now);
  }
}

void JobClaims::OnDisconnected(const std::string& entry, core::TimePoint now) {
  ++changes_;
  std::erase(entries_, entry);
  unresponsive_.erase(entry);
  std::vector<std::string> jobs;
  for (auto& [job, claim] : claims_) {
    const auto answer = claim.answers.find(entry);
    if (answer == claim.answers.end()) continue;
    const bool held = answer->second.state == Answer::State::kTaken;
    if (held) claim.not_before = now + kLostRecordWait;
    claim.answers.erase(answer);
    jobs.push_back(job);
  }
  for (const std::string& it : jobs) {
    if (claims_.contains(it)) AskMissing(it, now);
    Settle(it, now);
  }
}

void JobClaims::SetConnected(bool connected, core::TimePoint now) {
  if (std::exchange(connected_, connected) || !connected) return;
  const std::vector<std::string> pending(pending_.begin(), pending_.end());
  for (const std::string& it : pending) Settle(it, now);
}

void JobClaims::Renew(core::TimePoint now) {
  const auto take_due = [now](std::deque<Timer>& timers) {
    std::vector<Timer> due;
    for (; !timers.empty() && now >= timers.front().due; timers.pop_front()) {
      due.push_back(std::move(timers.front()));
    }
    return due;
  };
  const auto is_current = [this](const Timer& timer) {
    const auto it = claims_.find(timer.job);
    return it != claims_.end() && it->second.number == timer.number && !it->second.request;
  };
  for (const Timer& timer : take_due(renewals_)) {
    if (!is_current(timer)) continue;
    std::vector<std::string> entries;
    for (const auto& [entry, answer] : claims_.at(timer.job).answers) {
      if (entry != self_) entries.push_back(entry);
    }
    answers_due_.push_back({now + kAnswerLimit, timer.job, timer.number});
    renewals_.push_back({now + kRenewalInterval, timer.job, timer.number});
    Ask(timer.job, entries, now);
  }
  for (const Timer& timer : take_due(answers_due_)) {
    if (!is_current(timer)) continue;
    MarkLate(claims_.at(timer.job), now);
    AskMissing(timer.job, now);
  }
}

void JobClaims::MarkLate(ClaimState& claim, core::TimePoint now) {
  for (auto& [entry, answer] : claim.answers) {
    const bool missing = answer.state == Answer::State::kNone;
    if (!missing || entry == self_ || now - answer.asked_at < kAnswerLimit) continue;
    answer.state = Answer::State::kLate;
    if (unresponsive_.insert(entry).second) sink_.OnUnanswered(entry);
  }
}

void JobClaims::Advance(core::TimePoint now) {
  // Between two calls the connections are read.
  skipped_ = std::exchange(paused_, false);
  if (skipped_) return;
  Renew(now);
  const std::vector<std::string> pending(pending_.begin(), pending_.end());
  for (const std::string& job : pending) {
    const auto it = claims_.find(job);
    if (it == claims_.end() || !it->second.request) continue;
    ClaimState& claim = it->second;
    if (now >= claim.request->deadline) {
      using Kind = JobOutcome::Kind;
      const Kind kind = claim.taken_elsewhere ? Kind::kMayHaveRun : Kind::kNotRun;
      EndPending(job, {kind, "another entry has the job", kRetryAfter});
      continue;
    }
    MarkLate(claim, now);
    AskMissing(job, now);
    Settle(job, now);
  }
}

}  // namespace coltsfoottide::direct
