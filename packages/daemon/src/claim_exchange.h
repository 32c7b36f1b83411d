#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/claim_registry.h"
#include "coltsfoottide/direct/claim_registry_sink.h"
#include "coltsfoottide/direct/job_claims.h"
#include "coltsfoottide/direct/job_claims_sink.h"

namespace coltsfoottide::direct_wire {
class Frame;
}  // namespace coltsfoottide::direct_wire

namespace coltsfoottide::daemon {

class ClaimExchangeListener;
class EntryLinks;
class Logger;
class Metrics;

// Exchanges claims of jobs with other entries: claims the jobs of this entry, and records the
// claims that this entry is asked to record.
class ClaimExchange : private direct::JobClaimsSink, private direct::ClaimRegistrySink {
 public:
  // `self`: the name of this entry, see EntryLinks. `now`: when this process has started.
  ClaimExchange(std::string self, EntryLinks& links, ClaimExchangeListener& listener,
                Logger& logger, Metrics& metrics, core::TimePoint now);

  // The claims of this entry.
  direct::JobClaims& claims() { return claims_; }
  // Number of jobs whose coordinator or outcome is recorded here.
  std::size_t recorded() const { return registry_.size(); }

  // `records_claims`: whether the other entry answers claims.
  void OnPeerConnected(const std::string& entry, bool records_claims, core::TimePoint now);
  void OnPeerLost(const std::string& entry, core::TimePoint now);
  void OnPeerFrame(const std::string& entry, const direct_wire::Frame& frame, core::TimePoint now);

  // A stamp is sent to the entry with `frame`.
  void OnPeerStamp(const std::string& entry, direct_wire::Frame& frame);

  // Whether no entry can have begun the job, as a claim would find without a message.
  bool IsNew(const std::string& job, core::TimePoint now) const;

  // This process has done nothing for the time `pause`.
  void OnPause(core::Duration pause, core::TimePoint now);

  // Must be called every few tens of milliseconds.
  void Advance(core::TimePoint now);

 private:
  // JobClaimsSink
  void SendClaim(const std::string& entry, const direct::JobClaim& claim) override;
  void SendRelease(const std::string& entry, const direct::ClaimRelease& release) override;
  void SendBegunJobs(const std::string& entry, const std::vector<std::uint32_t>& jobs) override;
  void OnGranted(direct::JobRequest request, core::TimePoint now) override;
  void OnOutcome(const std::string& job, const direct::JobOutcome& outcome) override;
  void OnClaimLost(const std::string& job, const std::string& holder, core::TimePoint now) override;
  void OnClaimExpired(const std::string& job, core::TimePoint now) override;
  void OnAwaitedElsewhere(const direct::RivalClaim& message, core::TimePoint now) override;
  void OnTakenElsewhere(const std::string& job, const std::string& holder) override;
  void OnUnanswered(const std::string& entry) override;

  // ClaimRegistrySink
  void SendVerdict(const std::string& entry, const direct::ClaimVerdict& verdict) override;
  void SendRival(const std::string& entry, const direct::RivalClaim& message) override;

  const std::string self_;
  EntryLinks& links_;
  ClaimExchangeListener& listener_;
  Logger& logger_;
  Metrics& metrics_;
  direct::JobClaims claims_;
  direct::ClaimRegistry registry_;
  // When this process has started, or has last stood still for so long that its connections may
  // have been replaced.
  core::TimePoint running_since_;
  // Whether that was the end of a pause.
  bool resumed_ = false;
};

}  // namespace coltsfoottide::daemon
