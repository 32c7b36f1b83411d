#pragma once

#include <cstdint>
#include <optional>

#include "coltsfoottide/core/entry_control.h"
#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

class ConfigState;
class LogFollower;
class RecordAppender;

// Appends a snapshot of the configuration before the records that a new
// reader needs are no longer retained, and in any case every ten minutes.
class SnapshotPublisher {
 public:
  SnapshotPublisher(const EntryControlOptions& options, const ConfigState& config,
                    const LogFollower& follower, RecordAppender& appender);

  // Appends a snapshot if one is due and the end of the log is applied.
  void Tick(bool log_applied, TimePoint now);

  // Handles a completed append; returns whether this publisher had sent it.
  bool OnAppendDone(std::uint64_t request, TimePoint now);

 private:
  bool IsDue(TimePoint now) const;
  void Publish(TimePoint now);

  const EntryControlOptions& options_;
  const ConfigState& config_;
  const LogFollower& follower_;
  RecordAppender& appender_;
  // Next offset of the newest snapshot at the last Tick, and when it changed; the
  // first Tick counts as a change.
  std::uint64_t snapshot_next_ = 0;
  std::optional<TimePoint> snapshot_changed_at_;
  std::optional<TimePoint> due_since_;
  // Request number of the append in progress.
  std::optional<std::uint64_t> request_;
  TimePoint last_attempt_;
};

}  // namespace coltsfoottide::core
