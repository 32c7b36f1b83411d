#include "coltsfoottide/direct/job_claims.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "coltsfoottide/direct/claim_release.h"
#include "coltsfoottide/direct/claim_verdict.h"
#include "coltsfoottide/direct/job_claim.h"
#include "coltsfoottide/direct/job_claims_sink.h"
#include "coltsfoottide/direct/job_outcome.h"
#include "coltsfoottide/direct/job_return.h"
#include "coltsfoottide/direct/rendezvous_hash.h"

namespace coltsfoottide::direct {

namespace {

// Entries that record a claim.
constexpr std::size_t kRecorders = 2;
// An entry that has not answered for this long is not waited for. Several round trips between
// data centres.
constexpr core::Duration kAnswerLimit = std::chrono::milliseconds(60);
// A claim is asked for again if it was sent longer ago than this: the process may have stood
// still since, and the claim may have lapsed.
constexpr core::Duration kGrantLifetime = std::chrono::seconds(1);
// Interval at which granted claims are sent again. Callers come back after 1.3 s at the
// earliest, so that few jobs last long enough.
constexpr core::Duration kRenewalInterval = std::chrono::milliseconds(500);
// Time for which a claim waits for one of the entries that rank highest, if none of them
// answers: the job's coordinator has noticed the same by then and is recorded elsewhere.
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
  const bool held = std::any_of(claim.answers.begin(), claim.answers.end(), [](const auto& it) {
    return it.second.state == Answer::State::kHeld;
  });
  if (held) return;
  claim.asked_at_change = changes_;
  std::vector<std::string> missing;
  std::size_t responsive = 0;
  for (const std::string& it : HighestRanked(job, entries_, kRecorders + unresponsive_.size())) {
    if (responsive == kRecorders) break;
    const auto answer = claim.answers.find(it);
    if (answer == claim.answers.end()) missing.push_back(it);
    const bool unresponsive = answer == claim.answers.end()
                                  ? unresponsive_.contains(it)
                                  : IsUnresponsive(it, answer->second, now);
    if (!unresponsive) ++responsive;
  }
  // Also asked: this entry itself, so that others that ask it in place of the two learn that it
  // has the job.
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
  for (const std::string& it : entries) claim.answers[it] = Answer{Answer::State::kNone, now};
  for (const std::string& it : entries) {
    if (it != self_) sink_.SendClaim(it, message);
  }
  const bool ask_self = std::find(entries.begin(), entries.end(), self_) != entries.end();
  if (ask_self) sink_.SendClaim(self_, message);
}

bool JobClaims::IsUnresponsive(const std::string& entry, const Answer& answer,
                               core::TimePoint now) const {
  if (answer.state != Answer::State::kNone) return false;
  return unresponsive_.contains(entry) || now - answer.asked_at >= kAnswerLimit;
}

void JobClaims::Settle(const std::string& job, core::TimePoint now) {
  const auto it = claims_.find(job);
  if (it == claims_.end() || !it->second.request) return;
  ClaimState& claim = it->second;
  std::vector<std::string> expired;
  if (!complete_ || now < claim.not_before) return;
  bool granted = false;
  for (const auto& [entry, answer] : claim.answers) {
    if (answer.state == Answer::State::kHeld) return;
    if (answer.state == Answer::State::kNone && !IsUnresponsive(entry, answer, now)) return;
    if (answer.state != Answer::State::kGranted) continue;
    granted = true;
    if (entry != self_ && now - answer.asked_at > kGrantLifetime) expired.push_back(entry);
  }
  if (!expired.empty()) return Ask(job, expired, now);
  if (!granted) return;
  if (now - claim.claimed_at < kRecorderWait && !IsGrantedByRecorder(job, claim)) return;
  if (claim.asked_at_change != changes_) {
    // Entries have come or gone since: the ones that rank highest now must agree as well.
    AskMissing(job, now);
    return Settle(job, now);
  }
  renewals_.push_back({now + kRenewalInterval, job, claim.number});
  JobRequest request = std::move(*claim.request);
  claim.request.reset();
  pending_.erase(job);
  request.may_have_run = request.may_have_run || claim.held_elsewhere;
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
    return Settle(verdict.job, now);
  }
  if (!claim.request) return sink_.OnClaimLost(verdict.job, verdict.holder, now);
  if (verdict.kind == Kind::kEnded) return EndPending(verdict.job, verdict.outcome);
  answer->second.state = Answer::State::kHeld;
  if (!std::exchange(claim.held_elsewhere, true)) sink_.OnHeld(verdict.job, verdict.holder);
}

void JobClaims::OnReturn(const std::string& entry, const JobReturn& message, core::TimePoint now) {
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
  sink_.OnReturn(message, now);
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
    const bool held = answer->second.state == Answer::State::kHeld;
    if (held) claim.not_before = now + kLostRecordWait;
    claim.answers.erase(answer);
    jobs.push_back(job);
  }
  for (const std::string& it : jobs) {
    if (claims_.contains(it)) AskMissing(it, now);
    Settle(it, now);
  }
}

void JobClaims::SetComplete(bool complete, core::TimePoint now) {
  if (std::exchange(complete_, complete) || !complete) return;
  const std::vector<std::string> pending(pending_.begin(), pending_.end());
  for (const std::string& it : pending) Settle(it, now);
}

bool JobClaims::IsGrantedByRecorder(const std::string& job, const ClaimState& claim) const {
  const std::vector<std::string> recorders = HighestRanked(job, entries_, kRecorders);
  return std::any_of(recorders.begin(), recorders.end(), [&claim](const std::string& entry) {
    const auto it = claim.answers.find(entry);
    return it != claim.answers.end() && it->second.state == Answer::State::kGranted;
  });
}

void JobClaims::OnPause(core::TimePoint now) {
  for (auto& [job, claim] : claims_) {
    for (auto& [entry, answer] : claim.answers) {
      if (answer.state == Answer::State::kNone) answer.asked_at = now;
    }
  }
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
    NoteUnresponsive(claims_.at(timer.job), now);
    AskMissing(timer.job, now);
  }
}

void JobClaims::NoteUnresponsive(const ClaimState& claim, core::TimePoint now) {
  for (const auto& [entry, answer] : claim.answers) {
    const bool late = answer.state == Answer::State::kNone && IsUnresponsive(entry, answer, now);
    if (late && entry != self_ && unresponsive_.insert(entry).second) sink_.OnUnanswered(entry);
  }
}

void JobClaims::Advance(core::TimePoint now) {
  Renew(now);
  const std::vector<std::string> pending(pending_.begin(), pending_.end());
  for (const std::string& job : pending) {
    const auto it = claims_.find(job);
    if (it == claims_.end() || !it->second.request) continue;
    const ClaimState& claim = it->second;
    if (now >= claim.request->deadline) {
      using Kind = JobOutcome::Kind;
      const Kind kind = claim.held_elsewhere ? Kind::kMayHaveRun : Kind::kNotRun;
      EndPending(job, {kind, "another entry has the job", kRetryAfter});
      continue;
    }
    NoteUnresponsive(claim, now);
    AskMissing(job, now);
    Settle(job, now);
  }
}

}  // namespace coltsfoottide::direct
