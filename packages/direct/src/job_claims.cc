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
#include "coltsfoottide/direct/time_bounds.h"

namespace coltsfoottide::direct {

namespace {

constexpr std::size_t kRecorders = 2;
// An entry that has not answered for this long is not waited for. Several round trips between
// data centres.
constexpr core::Duration kAnswerLimit = std::chrono::milliseconds(60);
// A grant of a claim that was sent longer ago is not acted on: the process may have stood still
// since, and the claim may have lapsed.
constexpr core::Duration kGrantLifetime = std::chrono::seconds(1);
// Intervals at which recorders are told of jobs that last, and of jobs that have ended: well before
// a caller can come back.
constexpr core::Duration kClaimInterval = std::chrono::milliseconds(200);
constexpr core::Duration kReleaseInterval = std::chrono::milliseconds(500);
// Delay of a request after which its caller may have submitted it elsewhere before the others hear
// that it has arrived here.
constexpr core::Duration kMaxRequestDelay = std::chrono::milliseconds(900);
// Such a job waits for this long before its recorders are believed: if another entry has begun it,
// they have been told by then.
constexpr core::Duration kLateRequestWait = kClaimInterval + kAnswerLimit;
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
// A claim whose lease ends within this time is renewed at once: before the next renewal, or before
// one of the entries that are asked then has answered.
constexpr core::Duration kLeaseRenewalMargin = kRenewalInterval + 3 * kAnswerLimit;

}  // namespace

JobClaims::JobClaims(std::string self, std::uint32_t first_number, JobClaimsSink& sink)
    : self_(std::move(self)),
      sink_(sink),
      next_number_(first_number),
      entries_({self_}),
      begun_here_(kOutcomeRetention),
      begun_elsewhere_(kOutcomeRetention) {}

bool JobClaims::IsPending(const std::string& job) const { return pending_.contains(job); }

bool JobClaims::IsNew(const std::string& job, core::TimePoint now) const {
  return connected_ && reaches_all_ && ReadingDelay(now) <= kMaxRequestDelay &&
         !claims_.contains(job) && !begun_elsewhere_.Contains(JobFilter::Hash(job));
}

void JobClaims::Claim(JobRequest request, core::TimePoint now) {
  const std::string job = request.id;
  ClaimState& claim = claims_[job];
  claim.request = std::move(request);
  claim.claimed_at = now;
  pending_.insert(job);
  AddBegun(job, now);
  const core::Duration delay = ReadingDelay(now);
  if (delay > kMaxRequestDelay) claim.not_before = now + kLateRequestWait;
  if (delay > kMaxReadingDelay) {
    // The next stamp may come too late.
    for (const std::string& it : entries_) {
      if (it != self_) sink_.SendBegunJobs(it, TakeBegunJobs(it));
    }
  }
  Begin(job, now);
}

void JobClaims::Begin(const std::string& job, core::TimePoint now) {
  ClaimState& claim = claims_.at(job);
  const std::uint32_t number = next_number_++;
  claim.number = number;
  claim.answers.clear();
  claim.recorders_needed.reset();
  claim.ranked_at_change.reset();
  // This entry records its own claims too, for others that ask it in place of a recorder.
  Ask(job, {self_}, now);
  // It may have answered that the job has ended, or begun the claim again.
  const auto it = claims_.find(job);
  if (it == claims_.end() || it->second.number != number) return;
  const bool complete = it->second.answers.at(self_).complete;
  ClaimState& begun = it->second;
  begun.begun_elsewhere = begun_elsewhere_.Contains(JobFilter::Hash(job));
  const bool unknown = complete && !begun.begun_elsewhere;
  const bool is_new = unknown && connected_ && reaches_all_ && !begun.taken_elsewhere &&
                      !begun.contested && now >= begun.not_before;
  begun.recorders_needed = is_new ? 0 : unknown ? 1 : kRecorders;
  if (!is_new) AskMissing(job, now);
  Settle(job, now);
}

void JobClaims::Rank(const std::string& job, ClaimState& claim) const {
  if (claim.ranked_at_change == changes_) return;
  claim.recorders = HighestRanked(job, entries_, kRecorders);
  claim.ranked_at_change = changes_;
}

void JobClaims::AskAll(const std::string& job, core::TimePoint now) {
  claims_.at(job).recorders_needed = kRecorders;
  AskMissing(job, now);
}

void JobClaims::AskMissing(const std::string& job, core::TimePoint now) {
  ClaimState& claim = claims_.at(job);
  const bool taken = std::any_of(claim.answers.begin(), claim.answers.end(), [](const auto& it) {
    return it.second.state == Answer::State::kTaken;
  });
  if (taken) return;
  Rank(job, claim);
  std::vector<std::string> missing;
  std::size_t responsive = 0;
  for (const std::string& it : HighestRanked(job, entries_, kRecorders + unresponsive_.size())) {
    if (responsive == claim.recorders_needed) break;
    const auto answer = claim.answers.find(it);
    const bool asked = answer != claim.answers.end();
    if (!asked) missing.push_back(it);
    const bool unresponsive =
        asked ? answer->second.state == Answer::State::kLate : unresponsive_.contains(it);
    if (!unresponsive) ++responsive;
  }
  Ask(job, missing, now);
}

void JobClaims::Ask(const std::string& job, const std::vector<std::string>& entries,
                    core::TimePoint now) {
  if (entries.empty()) return;
  ClaimState& claim = claims_.at(job);
  JobClaim message{job, claim.number, !claim.request, {}, now};
  if (claim.request) message.wait = claim.request->deadline - now;
  // All before the first is sent: this entry answers at once, and the others must be waited
  // for.
  for (const std::string& it : entries) {
    using State = Answer::State;
    claim.answers[it] = {unresponsive_.contains(it) ? State::kLate : State::kNone, false, now, {}};
  }
  for (const std::string& it : entries) {
    if (it != self_) sink_.SendClaim(it, message);
  }
  const bool ask_self = std::find(entries.begin(), entries.end(), self_) != entries.end();
  if (ask_self) sink_.SendClaim(self_, message);
}

void JobClaims::AskAgain(const std::string& job, core::TimePoint now) {
  std::vector<std::string> entries;
  for (const auto& [entry, answer] : claims_.at(job).answers) {
    if (entry != self_) entries.push_back(entry);
  }
  Ask(job, entries, now);
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
  if (!claim.recorders_needed) return false;
  if (claim.recorders_needed == 0) return true;
  // An entry that has lost a connection may take others for the recorders than the coordinator.
  const auto own = claim.answers.find(self_);
  const bool certain = !claim.begun_elsewhere && claim.ranked_at_change == changes_ &&
                       own != claim.answers.end() && own->second.complete &&
                       IsGrantedByRecorder(claim, true);
  if (certain) return true;
  if (claim.recorders_needed < kRecorders) return false;
  if (any(Answer::State::kNone) || !any(Answer::State::kGranted)) return false;
  return now - claim.claimed_at >= kRecorderWait || IsGrantedByRecorder(claim, false);
}

std::vector<std::string> JobClaims::ExpiredGrants(const ClaimState& claim,
                                                  core::TimePoint now) const {
  std::vector<std::string> expired;
  for (const auto& [entry, answer] : claim.answers) {
    const bool granted = answer.state == Answer::State::kGranted;
    if (granted && entry != self_ && now - answer.confirmed_at > kGrantLifetime) {
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
  if (claim.recorders_needed > 0 && claim.ranked_at_change != changes_) {
    // The entries that rank highest now must agree as well.
    AskAll(job, now);
    return Settle(job, now);
  }
  unrecorded_.push_back({job, claim.number});
  BeginLease(job, claim);
  JobRequest request = std::move(*claim.request);
  claim.request.reset();
  pending_.erase(job);
  request.may_have_run = request.may_have_run || claim.taken_elsewhere;
  sink_.OnGranted(std::move(request), now);
}

void JobClaims::BeginLease(const std::string& job, const ClaimState& claim) {
  if (entries_.size() == 1) return;
  // A lease without a confirmation counts from when the request was read: its caller submits it
  // elsewhere 1.3 s later at the earliest.
  core::TimePoint confirmed_at = claim.claimed_at;
  for (const auto& [entry, answer] : claim.answers) {
    const bool confirmed = entry != self_ && answer.state == Answer::State::kGranted;
    if (confirmed) confirmed_at = std::max(confirmed_at, answer.confirmed_at);
  }
  leases_.Extend(job, confirmed_at);
}

void JobClaims::EndExpired(core::TimePoint now) {
  for (const std::string& it : leases_.TakeExpired(now)) sink_.OnClaimExpired(it, now);
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
    const bool was_taken = answer->second.state == Answer::State::kTaken;
    answer->second.state = Answer::State::kGranted;
    answer->second.complete = verdict.complete;
    // Earlier versions do not return the time.
    const bool timed = verdict.claim_sent_at > core::TimePoint();
    answer->second.confirmed_at =
        timed ? std::min(verdict.claim_sent_at, answer->second.asked_at) : answer->second.asked_at;
    if (entry != self_ && !claim.request) {
      leases_.Extend(verdict.job, answer->second.confirmed_at);
    }
    const bool uncertain =
        entry != self_ && !verdict.complete && claim.recorders_needed < kRecorders;
    if (claim.request && (uncertain || was_taken)) AskAll(verdict.job, now);
    return Settle(verdict.job, now);
  }
  if (!claim.request) return sink_.OnClaimLost(verdict.job, verdict.holder, now);
  if (verdict.kind == Kind::kEnded) return EndPending(verdict.job, verdict.outcome);
  answer->second.state = Answer::State::kTaken;
  if (!std::exchange(claim.taken_elsewhere, true)) {
    sink_.OnTakenElsewhere(verdict.job, verdict.holder);
  }
}

void JobClaims::OnRival(const std::string& entry, const RivalClaim& message, core::TimePoint now) {
  const auto it = claims_.find(message.job);
  if (it == claims_.end() || it->second.number != message.number) {
    // The outcome may wait to be sent.
    FlushReleases(entry);
    return sink_.SendRelease(entry, {message.job, message.number, std::nullopt});
  }
  it->second.contested = true;
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
  // Not those of this claim any more, if one arrives within the call.
  claim.number = next_number_++;
  SendReleases(job, earlier, std::nullopt, true);
  Begin(job, now);
}

void JobClaims::SendReleases(const std::string& job, const ClaimState& claim,
                             const std::optional<JobOutcome>& outcome, bool awaited) {
  std::set<std::string> entries;
  for (const auto& [entry, answer] : claim.answers) entries.insert(entry);
  if (outcome) {
    for (const std::string& it : HighestRanked(job, entries_, kRecorders)) entries.insert(it);
  }
  for (const std::string& it : entries) {
    if (awaited || it == self_) {
      sink_.SendRelease(it, {job, claim.number, outcome});
    } else {
      releases_[it].push_back({job, claim.number, outcome});
    }
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
  leases_.Remove(job);
  pending_.erase(job);
  SendReleases(job, claim, outcome, claim.contested);
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
  unheard_[entry] = begun_here_.hashes();
  std::vector<std::string> jobs;
  for (auto& [job, claim] : claims_) {
    claim.answers.erase(entry);
    jobs.push_back(job);
  }
  for (const std::string& it : jobs) {
    if (claims_.contains(it)) AskAll(it, now);
  }
}

void JobClaims::OnDisconnected(const std::string& entry, core::TimePoint now) {
  ++changes_;
  std::erase(entries_, entry);
  unresponsive_.erase(entry);
  releases_.erase(entry);
  unheard_.erase(entry);
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
    if (claims_.contains(it)) AskAll(it, now);
    Settle(it, now);
  }
}

void JobClaims::SetConnected(bool connected, core::TimePoint now) {
  if (std::exchange(connected_, connected) || !connected) return;
  const std::vector<std::string> pending(pending_.begin(), pending_.end());
  for (const std::string& it : pending) Settle(it, now);
}

void JobClaims::OnBegunJobs(const std::vector<std::uint32_t>& jobs, core::TimePoint now) {
  for (const std::uint32_t it : jobs) begun_elsewhere_.Add(it, now);
}

void JobClaims::AddBegun(const std::string& job, core::TimePoint now) {
  const std::uint32_t hash = JobFilter::Hash(job);
  begun_here_.Add(hash, now);
  for (auto& [entry, hashes] : unheard_) hashes.push_back(hash);
}

std::vector<std::uint32_t> JobClaims::TakeBegunJobs(const std::string& entry) {
  const auto it = unheard_.find(entry);
  if (it == unheard_.end()) return {};
  return std::exchange(it->second, {});
}

core::Duration JobClaims::ReadingDelay(core::TimePoint now) const {
  return previous_advance_ ? now - *previous_advance_ : core::Duration{};
}

bool JobClaims::IsHeld(const ClaimKey& key) const {
  const auto it = claims_.find(key.job);
  return it != claims_.end() && it->second.number == key.number && !it->second.request;
}

void JobClaims::Record(core::TimePoint now) {
  if (now >= claims_due_) {
    claims_due_ = now + kClaimInterval;
    for (const ClaimKey& it : std::exchange(unrecorded_, {})) {
      if (!IsHeld(it)) continue;
      answers_due_.push_back({now + kAnswerLimit, it});
      renewals_.push_back({now + kRenewalInterval, it});
      if (leases_.EndsBy(it.job, now + kLeaseRenewalMargin)) AskAgain(it.job, now);
      AskAll(it.job, now);
    }
  }
  if (now >= releases_due_) {
    releases_due_ = now + kReleaseInterval;
    while (!releases_.empty()) FlushReleases(std::string(releases_.begin()->first));
  }
}

void JobClaims::FlushReleases(const std::string& entry) {
  const auto it = releases_.find(entry);
  if (it == releases_.end()) return;
  const std::vector<ClaimRelease> releases = std::move(it->second);
  releases_.erase(it);
  for (const ClaimRelease& release : releases) sink_.SendRelease(entry, release);
}

void JobClaims::Flush() {
  while (!releases_.empty()) FlushReleases(std::string(releases_.begin()->first));
  for (auto& [entry, hashes] : unheard_) {
    if (!hashes.empty()) sink_.SendBegunJobs(entry, std::exchange(hashes, {}));
  }
}

bool JobClaims::HasUnsent() const {
  return !releases_.empty() || std::any_of(unheard_.begin(), unheard_.end(),
                                           [](const auto& it) { return !it.second.empty(); });
}

void JobClaims::Renew(core::TimePoint now) {
  const auto take_due = [now](std::deque<Timer>& timers) {
    std::vector<ClaimKey> due;
    for (; !timers.empty() && now >= timers.front().due; timers.pop_front()) {
      due.push_back(std::move(timers.front().claim));
    }
    return due;
  };
  for (const ClaimKey& key : take_due(renewals_)) {
    if (!IsHeld(key)) continue;
    AddBegun(key.job, now);
    answers_due_.push_back({now + kAnswerLimit, key});
    renewals_.push_back({now + kRenewalInterval, key});
    AskAgain(key.job, now);
  }
  for (const ClaimKey& key : take_due(answers_due_)) {
    if (!IsHeld(key)) continue;
    ClaimState& claim = claims_.at(key.job);
    if (MarkLate(claim, now)) AskAll(key.job, now);
    const bool missing =
        std::any_of(claim.answers.begin(), claim.answers.end(),
                    [](const auto& it) { return it.second.state == Answer::State::kNone; });
    if (missing) answers_due_.push_back({now + kAnswerLimit, key});
  }
}

bool JobClaims::MarkLate(ClaimState& claim, core::TimePoint now) {
  // Answers that have arrived may not be read yet.
  const core::Duration limit = std::max(kAnswerLimit, 2 * ReadingDelay(now));
  bool any = false;
  for (auto& [entry, answer] : claim.answers) {
    const bool missing = answer.state == Answer::State::kNone;
    if (!missing || entry == self_ || now - answer.asked_at < limit) continue;
    answer.state = Answer::State::kLate;
    any = true;
    if (unresponsive_.insert(entry).second) sink_.OnUnanswered(entry);
  }
  return any;
}

void JobClaims::Advance(core::TimePoint now) {
  EndExpired(now);
  previous_advance_ = std::exchange(advanced_at_, now);
  // Between two calls the connections are read.
  skipped_ = std::exchange(paused_, false);
  if (skipped_) return;
  Renew(now);
  Record(now);
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
    if (MarkLate(claim, now)) AskAll(job, now);
    Settle(job, now);
  }
}

}  // namespace coltsfoottide::direct
