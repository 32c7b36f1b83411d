#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

class ConfigState;
class PeerTable;

// Determines the time as of which the applied configuration is known to be
// complete (the evidence): from this entry's own reads of the log, or during an
// outage of the log from the statuses of other entries.
class EvidenceTracker {
 public:
  EvidenceTracker(std::string endpoint, std::uint64_t incarnation, Duration validity);

  // Records a read that was sent at `started` and answered; `complete` says that
  // everything on the log at `started` is applied.
  void OnRead(TimePoint started, bool complete);

  // Records an inconsistent answer of the log: it ended before an offset known
  // to be on the log, or had a gap.
  void OnInconsistent();

  // Excludes this entry's own vote from the majority from now on. It is about
  // to remove itself from the roster, and entries that have applied the removal
  // form a majority without it.
  void StopVoting() { voting_ = false; }

  // Whether a read sent within the validity of evidence was answered.
  bool LogReadable(TimePoint now) const;
  // Whether the last answer of the log was inconsistent.
  bool log_inconsistent() const { return inconsistent_; }
  // Start of the last complete read.
  std::optional<TimePoint> complete_read() const { return last_complete_read_; }
  // Age of the evidence from own reads.
  std::optional<Duration> ReadAge(TimePoint now) const;
  // Age of the evidence: that of this entry's own reads while it is valid,
  // otherwise the newest from other entries. Empty without evidence and while
  // no configuration is known. `known_next` is one more than the highest offset
  // known to be on the log.
  std::optional<Duration> Age(const ConfigState& config, const PeerTable& peers,
                              std::uint64_t known_next, TimePoint now) const;

 private:
  // Time of the newest evidence from a peer that can read the log.
  std::optional<TimePoint> TimeFromReader(const ConfigState& config, const PeerTable& peers,
                                          TimePoint now) const;
  // Time of the evidence from a majority of the roster that cannot read the log
  // and has applied nothing that this entry has not.
  std::optional<TimePoint> TimeFromMajority(const ConfigState& config, const PeerTable& peers,
                                            TimePoint now) const;

  std::string endpoint_;
  std::uint64_t incarnation_;
  Duration validity_;
  // When the last answered read was sent; empty after an inconsistent answer.
  std::optional<TimePoint> last_read_;
  std::optional<TimePoint> last_complete_read_;
  bool inconsistent_ = false;
  bool voting_ = true;
};

}  // namespace coltsfoottide::core
