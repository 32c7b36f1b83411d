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

// Follows operators' changes from the append to their being in force, and
// responds to each call once. A change id is appended at most once here.
class ChangeTracker {
 public:
  ChangeTracker(const EntryControlOptions& options, const ConfigState& config,
                const PeerTable& peers, const Directory& directory, RecordAppender& appender,
                ChangeSink& sink);

  // Takes in a call; `ready` as for Tick.
  void Change(std::uint64_t call, const api::ChangeConfigRequest& request, bool ready,
              TimePoint now);

  // Takes in the end of an append; returns whether it was one of this
  // tracker.
  bool OnAppendDone(std::uint64_t request, std::optional<std::uint64_t> offset, TimePoint now);

  // Responds to calls that are decided or have waited long enough. `ready`
  // says that the end of the log is folded, so that an append makes sense.
  void Tick(bool ready, TimePoint now);

 private:
  struct Waiter {
    std::uint64_t call = 0;
    TimePoint since;
    Duration wait_in_force{};
  };
  struct Pending {
    wire::LogRecord record;
    bool appending = false;
    // Set once an append was sent.
    std::optional<std::uint64_t> request;
    // When the log confirmed the append.
    std::optional<TimePoint> appended;
    std::optional<TimePoint> folded;
    std::optional<TimePoint> accepted;
    TimePoint last_used;
    std::vector<Waiter> waiters;
  };

  void Advance(const std::string& change_id, Pending& pending, bool ready, TimePoint now);
  void AdvanceFolded(const wire::ChangeOutcome& outcome, Pending& pending, TimePoint now);
  void AdvanceUnfolded(Pending& pending, bool ready, TimePoint now);
  void RefuseHeld(Pending& pending, TimePoint now);
  std::optional<api::ChangeConfigResponse> WonResponse(const wire::ChangeOutcome& outcome,
                                                       const Pending& pending, const Waiter& waiter,
                                                       TimePoint now) const;
  bool Accepted(std::uint64_t offset) const;
  bool InForce(std::uint64_t offset, TimePoint accepted, TimePoint now) const;
  void Forget(TimePoint now);

  const EntryControlOptions& options_;
  const ConfigState& config_;
  const PeerTable& peers_;
  const Directory& directory_;
  RecordAppender& appender_;
  ChangeSink& sink_;
  std::map<std::string, Pending> pending_;
  std::uint64_t made_ids_ = 0;
};

}  // namespace coltsfoottide::core
