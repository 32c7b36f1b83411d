#include "snapshot_publisher.h"

#include "coltsfoottide/core/config_state.h"
#include "coltsfoottide/core/stable_hash.h"
#include "log_follower.h"
#include "record_appender.h"

namespace coltsfoottide::core {
namespace {

// A snapshot is due at all entries at the same time; each waits a different
// fraction of this, so that usually only one of them appends it.
constexpr std::uint64_t kJitterUs = 2'000'000;
// A log with fewer records is read whole in one request; without a minimum,
// each snapshot on a short log would make the next one due.
constexpr std::uint64_t kMinRetained = 16;
// Time until the next attempt if the last one was not seen on the log.
constexpr Duration kRetryAfter = std::chrono::seconds(10);

}  // namespace

SnapshotPublisher::SnapshotPublisher(const EntryControlOptions& options, const ConfigState& config,
                                     const LogFollower& follower, RecordAppender& appender)
    : options_(options), config_(config), follower_(follower), appender_(appender) {}

void SnapshotPublisher::Tick(bool log_applied, TimePoint now) {
  if (!snapshot_changed_at_ || follower_.snapshot_next() != snapshot_next_) {
    snapshot_next_ = follower_.snapshot_next();
    snapshot_changed_at_ = now;
  }
  if (!log_applied || request_ || config_.next_offset() == 0 || !IsDue(now)) {
    due_since_.reset();
    return;
  }
  if (!due_since_) {
    due_since_ = now;
  }
  const Duration jitter(StableHash(options_.endpoint, options_.incarnation) % kJitterUs);
  const bool recently_tried = last_attempt_ != TimePoint{} && now - last_attempt_ < kRetryAfter;
  if (!recently_tried && now - *due_since_ >= jitter) {
    Publish(now);
  }
}

bool SnapshotPublisher::OnAppendDone(std::uint64_t request, TimePoint now) {
  if (request_ != request) {
    return false;
  }
  request_.reset();
  last_attempt_ = now;
  return true;
}

bool SnapshotPublisher::IsDue(TimePoint now) const {
  if (now - *snapshot_changed_at_ >= options_.snapshot_interval) {
    return true;
  }
  const std::uint64_t first = follower_.first_retained();
  const std::uint64_t next = config_.next_offset();
  if (next < first + kMinRetained) {
    // A new reader of a truncated log gets no configuration without a usable
    // snapshot.
    return first > 0 && follower_.snapshot_next() < first;
  }
  return follower_.snapshot_next() < first + (next - first) / 2;
}

void SnapshotPublisher::Publish(TimePoint now) {
  wire::LogRecord record;
  *record.mutable_snapshot()->mutable_state() = config_.ToData();
  request_ = appender_.Append(record);
  last_attempt_ = now;
}

}  // namespace coltsfoottide::core
