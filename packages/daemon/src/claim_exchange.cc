#include "claim_exchange.h"

#include <chrono>
#include <utility>

#include "claim_exchange_listener.h"
#include "coltsfoottide/daemon/boot_clock.h"
#include "coltsfoottide/daemon/logging.h"
#include "coltsfoottide/daemon/metrics.h"
#include "coltsfoottide/daemon/random_id.h"
#include "coltsfoottide/direct/claim_release.h"
#include "coltsfoottide/direct/claim_verdict.h"
#include "coltsfoottide/direct/job_claim.h"
#include "coltsfoottide/direct/job_outcome.h"
#include "coltsfoottide/direct/rival_claim.h"
#include "direct_messages.h"
#include "direct_timing.h"
#include "entry_links.h"

namespace coltsfoottide::daemon {

namespace {

// Pause after which messages may wait to be read. Several intervals of the timer.
constexpr core::Duration kShortestPause = std::chrono::milliseconds(60);
// Longest time that an entry waits, after its start or a pause, for connections to all entries that
// it knows. Some of them may have been removed.
constexpr core::Duration kMaxConnectionWait = std::chrono::seconds(1);
// Shortest wait of an entry that has started. Others claim their jobs here again when they
// connect, which takes them a round trip.
constexpr core::Duration kMinStartWait = std::chrono::milliseconds(100);
// Shortest wait of an entry that has stood still. The ends of earlier connections are read in it.
constexpr core::Duration kMinResumeWait = std::chrono::milliseconds(200);

}  // namespace

ClaimExchange::ClaimExchange(std::string self, EntryLinks& links, ClaimExchangeListener& listener,
                             Logger& logger, Metrics& metrics, core::TimePoint now)
    : self_(std::move(self)),
      links_(links),
      listener_(listener),
      logger_(logger),
      metrics_(metrics),
      claims_(self_, static_cast<std::uint32_t>(MakeRandomId()), *this),
      registry_({kDisconnectedClaimLimit, kSilentClaimLimit, kPeerStampInterval + kPeerJitter},
                *this),
      running_since_(now) {}

void ClaimExchange::OnPeerConnected(const std::string& entry, bool records_claims,
                                    core::TimePoint now) {
  registry_.OnHeard(entry, now);
  if (records_claims) claims_.OnConnected(entry, now);
}

void ClaimExchange::OnPeerLost(const std::string& entry, core::TimePoint now) {
  registry_.OnDisconnected(entry, now);
  claims_.OnDisconnected(entry, now);
}

void ClaimExchange::OnPeerFrame(const std::string& entry, const direct_wire::Frame& frame,
                                core::TimePoint now) {
  registry_.OnHeard(entry, now);
  claims_.OnHeard(entry);
  for (const direct_wire::ClaimStep& it : frame.claim_steps()) {
    if (it.has_claim()) registry_.OnClaim(entry, ReadJobClaim(it.claim()), now);
    if (it.has_release()) registry_.OnRelease(entry, ReadRelease(it.release()), now);
  }
  for (const direct_wire::ClaimVerdict& it : frame.claim_verdicts()) {
    if (const auto verdict = ReadVerdict(it)) {
      claims_.OnVerdict(entry, *verdict, now);
    } else {
      logger_.Warn("verdict ignored", {{"entry", entry}, {"job", it.job()}});
    }
  }
  for (const direct_wire::RivalClaim& it : frame.rival_claims()) {
    claims_.OnRival(entry, ReadRival(it), now);
  }
  claims_.OnBegunJobs({frame.begun_jobs().begin(), frame.begun_jobs().end()}, now);
  if (frame.stamp_us() != 0) registry_.OnStamp(entry, now);
}

void ClaimExchange::OnPeerStamp(const std::string& entry, direct_wire::Frame& frame) {
  const std::vector<std::uint32_t> jobs = claims_.TakeBegunJobs(entry);
  frame.mutable_begun_jobs()->Add(jobs.begin(), jobs.end());
}

bool ClaimExchange::IsNew(const std::string& job, core::TimePoint now) const {
  return claims_.IsNew(job, now) && registry_.IsCertainlyUnknown(job, now);
}

void ClaimExchange::OnPause(core::Duration pause, core::TimePoint now) {
  if (pause < kShortestPause) return;
  registry_.OnPause(now);
  claims_.OnPause();
  if (pause < kRunLimit) return;
  running_since_ = now;
  resumed_ = true;
  claims_.SetConnected(false, now);
}

void ClaimExchange::Advance(core::TimePoint now) {
  const core::Duration age = now - running_since_;
  const core::Duration min_wait = resumed_ ? kMinResumeWait : kMinStartWait;
  const bool connected = age > min_wait && links_.all_entries_connected();
  claims_.SetConnected(connected || age > kMaxConnectionWait, now);
  claims_.SetReachesAll(links_.all_entries_connected());
  registry_.Advance(now);
  claims_.Advance(now);
}

void ClaimExchange::SendClaim(const std::string& entry, const direct::JobClaim& claim) {
  if (entry == self_) return registry_.OnClaim(entry, claim, BootNow());
  if (auto* frame = links_.FrameToEntry(entry)) {
    WriteJobClaim(claim, *frame->add_claim_steps()->mutable_claim());
  }
}

void ClaimExchange::SendRelease(const std::string& entry, const direct::ClaimRelease& release) {
  if (entry == self_) return registry_.OnRelease(entry, release, BootNow());
  if (auto* frame = links_.FrameToEntry(entry)) {
    WriteRelease(release, *frame->add_claim_steps()->mutable_release());
  }
}

void ClaimExchange::SendBegunJobs(const std::string& entry,
                                  const std::vector<std::uint32_t>& jobs) {
  if (direct_wire::Frame* frame = links_.FrameToEntry(entry)) {
    frame->mutable_begun_jobs()->Add(jobs.begin(), jobs.end());
  }
}

void ClaimExchange::SendVerdict(const std::string& entry, const direct::ClaimVerdict& verdict) {
  if (entry == self_) return claims_.OnVerdict(entry, verdict, BootNow());
  if (auto* frame = links_.FrameToEntry(entry)) WriteVerdict(verdict, *frame->add_claim_verdicts());
}

void ClaimExchange::SendRival(const std::string& entry, const direct::RivalClaim& message) {
  if (entry == self_) return claims_.OnRival(entry, message, BootNow());
  if (auto* frame = links_.FrameToEntry(entry)) WriteRival(message, *frame->add_rival_claims());
}

void ClaimExchange::OnGranted(direct::JobRequest request, core::TimePoint now) {
  listener_.OnClaimGranted(std::move(request), now);
}

void ClaimExchange::OnOutcome(const std::string& job, const direct::JobOutcome& outcome) {
  listener_.OnClaimEnded(job, outcome);
}

void ClaimExchange::OnClaimLost(const std::string& job, const std::string& holder,
                                core::TimePoint now) {
  listener_.OnClaimLost(job, holder, now);
}

void ClaimExchange::OnClaimExpired(const std::string& job, core::TimePoint now) {
  listener_.OnClaimExpired(job, now);
}

void ClaimExchange::OnAwaitedElsewhere(const direct::RivalClaim& message, core::TimePoint now) {
  listener_.OnAwaitedElsewhere(message.job, message.entry, now + message.wait, now);
}

void ClaimExchange::OnTakenElsewhere(const std::string& job, const std::string& holder) {
  metrics_.Add("jobs_held_elsewhere", 1);
  logger_.Warn("job is at another entry", {{"job", job}, {"entry", holder}});
}

void ClaimExchange::OnUnanswered(const std::string& entry) {
  metrics_.Add("claims_unanswered", 1);
  logger_.Warn("claim not answered", {{"entry", entry}});
}

}  // namespace coltsfoottide::daemon
