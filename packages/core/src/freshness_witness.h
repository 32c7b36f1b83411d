#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

class ConfigState;
class PeerTable;

// Determines since when the folded configuration is known to be complete: by
// own reads of the log, or during an outage by what other entries report.
class FreshnessWitness {
 public:
  FreshnessWitness(std::string endpoint, std::uint64_t incarnation, Duration validity);

  // Records a read that was answered; `complete` says that everything on the
  // log at `started` is folded.
  void OnRead(TimePoint started, bool complete);

  // Records that the log contradicts what was folded.
  void OnInconsistent();

  // From now on this entry does not count in the majority: it is about to take
  // itself off the roster, and others may do without it once they know.
  void StopVoting() { voting_ = false; }

  bool LogReadable(TimePoint now) const;
  // Whether the last answer of the log contradicted what was folded.
  bool log_inconsistent() const { return inconsistent_; }
  // Start of the last complete read.
  std::optional<TimePoint> complete_read() const { return complete_read_; }
  // Age of the evidence from own reads.
  std::optional<Duration> ReadAge(TimePoint now) const;
  // Age of the best evidence; nothing while no configuration is known.
  // `known_next` is one more than the highest
  // offset known to be on the log.
  std::optional<Duration> Age(const ConfigState& config, const PeerTable& peers,
                              std::uint64_t known_next, TimePoint now) const;

 private:
  std::optional<TimePoint> FromReader(const ConfigState& config, const PeerTable& peers,
                                      TimePoint now) const;
  std::optional<TimePoint> FromMajority(const ConfigState& config, const PeerTable& peers,
                                        TimePoint now) const;

  std::string endpoint_;
  std::uint64_t incarnation_;
  Duration validity_;
  std::optional<TimePoint> read_;
  std::optional<TimePoint> complete_read_;
  bool inconsistent_ = false;
  bool voting_ = true;
};

}  // namespace coltsfoottide::core
