#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoottide/core/entry_control.h"
#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

class ConfigState;
class PeerTable;
class RecordAppender;

// Maintains the roster on the log: registers this entry, removes it on an
// orderly stop, and removes entries that a majority reports silent.
class RosterKeeper {
 public:
  RosterKeeper(const EntryControlOptions& options, const ConfigState& config,
               const PeerTable& peers, RecordAppender& appender);

  // Appends the registration or removal that is due. `complete_read` is the
  // start of the last read that has reached the end of the log, if that is
  // still valid; without it nothing is appended.
  void Tick(std::optional<TimePoint> complete_read, TimePoint now);

  // Handles a completed append; returns whether this keeper had sent it.
  bool OnAppendDone(std::uint64_t request, TimePoint now);

  void BeginLeave() { leaving_ = true; }
  bool leaving() const { return leaving_; }

  // Endpoints on the roster that this entry has not heard from for the removal
  // time.
  std::vector<std::string> SilentEndpoints(TimePoint now) const;

 private:
  void UpdateObservations(TimePoint now);
  bool OnRoster() const;
  bool MayRegister(TimePoint now) const;
  bool IsSilent(const api::RosterItem& item, TimePoint now) const;
  bool RosterAccepted() const;
  std::uint64_t ReportedNext(const api::RosterItem& item) const;
  bool MajorityReportsSilent(const api::RosterItem& item, TimePoint now) const;
  bool RemovalDue(const api::RosterItem& item, TimePoint now);
  void AppendRemoval(const std::string& endpoint, std::uint64_t incarnation, TimePoint now);
  void Append(const wire::LogRecord& record, TimePoint now);

  const EntryControlOptions& options_;
  const ConfigState& config_;
  const PeerTable& peers_;
  RecordAppender& appender_;
  bool leaving_ = false;
  bool was_on_roster_ = false;
  // When this process first saw each endpoint on the current roster.
  std::map<std::string, TimePoint> first_seen_;
  // Since when a majority reports the endpoint silent.
  std::map<std::string, TimePoint> majority_reports_silent_since_;
  // Request number of the append in progress.
  std::optional<std::uint64_t> request_;
  TimePoint appended_at_;
  // Set when an append has ended. A read started after this must show its
  // effect before another append is sent: a lost reply does not show whether
  // the record was stored.
  std::optional<TimePoint> read_needed_after_;
};

}  // namespace coltsfoottide::core
