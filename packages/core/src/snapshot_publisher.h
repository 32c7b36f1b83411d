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

  // Does what is due; `complete` says that the end of the log is folded.
  void Tick(bool complete, TimePoint now);

  // Takes in the end of an append; returns whether it was one of this part.
  bool OnAppendDone(std::uint64_t request, TimePoint now);

 private:
  bool Due(TimePoint now) const;
  void Publish(TimePoint now);

  const EntryControlOptions& options_;
  const ConfigState& config_;
  const LogFollower& follower_;
  RecordAppender& appender_;
  std::uint64_t seen_ = 0;
  std::optional<TimePoint> seen_at_;
  std::optional<TimePoint> due_since_;
  std::optional<std::uint64_t> request_;
  TimePoint last_attempt_;
};

}  // namespace coltsfoottide::core
