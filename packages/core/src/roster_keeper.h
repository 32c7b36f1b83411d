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

// Keeps the roster true: registers this entry, removes it on an orderly stop,
// and removes entries that a majority finds silent.
class RosterKeeper {
 public:
  RosterKeeper(const EntryControlOptions& options, const ConfigState& config,
               const PeerTable& peers, RecordAppender& appender);

  // Does what is due. `complete_read` is the start of the last read that has
  // reached the end of the log, if that is fresh; nothing is appended
  // without.
  void Tick(std::optional<TimePoint> complete_read, TimePoint now);

  // Takes in the end of an append; returns whether it was one of this keeper.
  bool OnAppendDone(std::uint64_t request, TimePoint now);

  void BeginLeave() { leaving_ = true; }
  bool leaving() const { return leaving_; }

  // Endpoints on the roster that were silent here for the removal time.
  std::vector<std::string> Silent(TimePoint now) const;

 private:
  void Observe(TimePoint now);
  bool OnRoster() const;
  bool MayRegister(TimePoint now) const;
  bool IsSilent(const api::RosterItem& item, TimePoint now) const;
  bool RosterAcknowledged() const;
  std::uint64_t Reported(const api::RosterItem& item) const;
  bool AgreedSilent(const api::RosterItem& item, TimePoint now) const;
  bool RemovalDue(const api::RosterItem& item, TimePoint now);
  void Remove(const std::string& endpoint, std::uint64_t incarnation, TimePoint now);
  void Append(const wire::LogRecord& record, TimePoint now);

  const EntryControlOptions& options_;
  const ConfigState& config_;
  const PeerTable& peers_;
  RecordAppender& appender_;
  bool leaving_ = false;
  bool was_on_roster_ = false;
  // Since when each rostered endpoint is on the roster as seen here.
  std::map<std::string, TimePoint> first_seen_;
  // Since when a majority agrees that the endpoint is silent.
  std::map<std::string, TimePoint> agreed_since_;
  std::optional<std::uint64_t> request_;
  TimePoint appended_at_;
  // A read started after this must show the effect of the last append before
  // another is sent, since a lost reply says nothing of the append.
  std::optional<TimePoint> settle_after_;
};

}  // namespace coltsfoottide::core
