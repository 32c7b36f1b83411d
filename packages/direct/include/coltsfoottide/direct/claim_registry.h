#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/job_outcome.h"

namespace coltsfoottide::direct {

class ClaimRegistrySink;
struct ClaimRelease;
struct ClaimVerdict;
struct JobClaim;

// Records which entry coordinates each job, for the jobs whose record this entry keeps (see
// JobClaims). A job has one coordinator; further claimants wait until it has released the job
// or its runs have certainly ended. Outcomes are remembered for some seconds. Does no I/O.
class ClaimRegistry {
 public:
  struct Tuning {
    // The claims of an entry lapse this long after its connection has closed, when the runs of
    // its jobs are over.
    core::Duration disconnected_limit;
    // They lapse this long after the last message of an entry that is silent.
    core::Duration silent_limit;
    // Longest time between two stamps of an entry that is neither silent nor slow. Shorter than
    // the time after which callers come back.
    core::Duration stamp_interval;
  };

  ClaimRegistry(const Tuning& tuning, ClaimRegistrySink& sink) : tuning_(tuning), sink_(sink) {}

  void OnClaim(const std::string& entry, const JobClaim& claim, core::TimePoint now);
  void OnRelease(const std::string& entry, const ClaimRelease& release, core::TimePoint now);

  // Something has arrived from the entry.
  void OnHeard(const std::string& entry, core::TimePoint now);
  // A stamp has arrived, and with it the jobs that the entry has begun before.
  void OnStamp(const std::string& entry, core::TimePoint now);
  // The connection to the entry has closed. Its claims lapse unless it renews them.
  void OnDisconnected(const std::string& entry, core::TimePoint now);

  // This process has stood still, so that what others have sent meanwhile is not read yet.
  void OnPause(core::TimePoint now) { resumed_at_ = now; }

  // Ends the claims of entries that are gone or silent, and removes old outcomes. Must be called
  // every few tens of milliseconds.
  void Advance(core::TimePoint now);

  // Whether no other entry can have claimed the job: it is not recorded here, and the records are
  // complete for every caller that can submit a job again by now.
  bool IsCertainlyUnknown(const std::string& job, core::TimePoint now) const {
    return IsComplete(now) && !records_.contains(job);
  }

  // Number of recorded jobs, with those whose outcome is remembered.
  std::size_t size() const { return records_.size(); }

 private:
  struct Claimant {
    std::string entry;
    std::uint32_t number = 0;
    // Coordinates the job, as it has said itself.
    bool held = false;
    core::Duration wait{};
    // Of the latest claim, by the claimant's clock.
    core::TimePoint sent_at;
  };
  struct Record {
    Claimant holder;
    // Set from when the holder's connection closes until it renews the claim.
    std::optional<core::TimePoint> lapses;
    std::vector<Claimant> waiting;
    std::optional<JobOutcome> outcome;
  };
  struct Ended {
    std::string job;
    core::TimePoint time;
  };
  struct Peer {
    core::TimePoint heard;
    core::TimePoint stamped;
  };

  void Queue(const std::string& job, Record& record, const Claimant& claimant);
  // Tells the holder that the other one claims the job as well.
  void SendRival(const std::string& job, const Claimant& holder, const Claimant& other);
  // The holder says that it coordinates the job: others that do must end their runs.
  void DismissHeld(const std::string& job, Record& record);
  // Ends the claim of a holder whose runs are over.
  void Lapse(const std::string& job);
  // Gives the job to the next claimant, or removes its record.
  void PassOn(const std::string& job);
  // Whether every claim that was made before a caller can have come back is recorded here.
  bool IsComplete(core::TimePoint now) const;
  bool HasLapsed(const Record& record, core::TimePoint now) const;
  void SendVerdict(const std::string& job, const Claimant& claimant, ClaimVerdict verdict);

  const Tuning tuning_;
  ClaimRegistrySink& sink_;
  std::map<std::string, Record> records_;
  // Jobs that others wait for, or whose holder is not connected.
  std::set<std::string> watched_;
  std::deque<Ended> ended_;
  // Connected entries: times of the last message and the last stamp.
  std::map<std::string, Peer> peers_;
  // The earliest of the stamps at the last call of Advance.
  core::TimePoint oldest_stamp_;
  // Entries that have connected have renewed their claims by then.
  core::TimePoint complete_from_ = core::TimePoint::max();
  // The last two calls of Advance; between them all connections were read.
  core::TimePoint advanced_at_;
  core::TimePoint previous_advance_;
  // After a pause, see OnPause.
  core::TimePoint resumed_at_;
};

}  // namespace coltsfoottide::direct
