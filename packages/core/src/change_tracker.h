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
class Directory;
class PeerTable;
class RecordAppender;

// Tracks operators' changes from the append until they are in force, and
// responds to each call once. This process appends a change id once, and again
// only if the id is not among the known outcomes and has not been used for ten
// minutes.
class ChangeTracker {
 public:
  ChangeTracker(const EntryControlOptions& options, const ConfigState& config,
                const PeerTable& peers, const Directory& directory, RecordAppender& appender,
                ChangeSink& sink);

  // Starts a call; `ready` as for Tick.
  void Change(std::uint64_t call, const api::ChangeConfigRequest& request, bool ready,
              TimePoint now);

  // Handles a completed append; returns whether this tracker had sent it.
  bool OnAppendDone(std::uint64_t request, std::optional<std::uint64_t> offset, TimePoint now);

  // Responds to calls whose outcome is known or that have timed out. `ready`:
  // the end of the log is applied, so that a change may be appended.
  void Tick(bool ready, TimePoint now);

 private:
  struct Waiter {
    std::uint64_t call = 0;
    TimePoint since;
    Duration wait_in_force{};
  };
  struct Pending {
    wire::LogRecord record;
    // An append is in progress.
    bool appending = false;
    // Request number of the append, set once it was sent.
    std::optional<std::uint64_t> request;
    // When the log confirmed the append.
    std::optional<TimePoint> appended_at;
    // When this entry first saw the change applied.
    std::optional<TimePoint> applied_at;
    // When it first saw that a majority had accepted it.
    std::optional<TimePoint> accepted_at;
    TimePoint last_used;
    std::vector<Waiter> waiters;
  };

  void Advance(const std::string& change_id, Pending& pending, bool ready, TimePoint now);
  void AdvanceApplied(const wire::ChangeOutcome& outcome, Pending& pending, TimePoint now);
  void AdvanceUnapplied(Pending& pending, bool ready, TimePoint now);
  void RefuseUnsent(Pending& pending, TimePoint now);
  std::optional<api::ChangeConfigResponse> WonResponse(const wire::ChangeOutcome& outcome,
                                                       const Pending& pending, const Waiter& waiter,
                                                       TimePoint now) const;
  bool IsAccepted(std::uint64_t offset) const;
  bool IsInForce(std::uint64_t offset, TimePoint accepted_at, TimePoint now) const;
  void EraseIdle(TimePoint now);

  const EntryControlOptions& options_;
  const ConfigState& config_;
  const PeerTable& peers_;
  const Directory& directory_;
  RecordAppender& appender_;
  ChangeSink& sink_;
  std::map<std::string, Pending> pending_;  // by change id
  std::uint64_t generated_ids_ = 0;
};

}  // namespace coltsfoottide::core
