#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "coltsfoottide/core/config_state.h"
#include "coltsfoottide/core/log_port.h"

namespace coltsfoottide::core {

// Result of a read of the log.
enum class FollowResult {
  // Everything on the log at the time of the read is applied.
  kReachedEnd,
  // The log has more records to read.
  kMore,
  // Records to apply next are no longer retained; applying continues once a
  // usable snapshot has been read.
  kWaitingForSnapshot,
  // The log ends before an offset that was known to be on it, or the answer has
  // a gap or contradicts itself.
  kInconsistent,
};

// Applies the log to a configuration. When needed records are no longer
// retained, it buffers what follows until it has read a usable snapshot: one
// that covers all records before the buffer.
class LogFollower {
 public:
  // The state must outlive the follower.
  explicit LogFollower(ConfigState& state) : state_(state) {}

  // Offset to read from next.
  std::uint64_t NextRead() const;

  // Processes the answer to a read. `known_next_at_start` is known_next()
  // from when the read was sent, so that an append which has completed since
  // does not make the answer inconsistent.
  FollowResult OnBatch(const LogBatch& batch, std::uint64_t known_next_at_start);

  // Applies a record that this process has appended and the log has stored at
  // the offset, if it is the next one.
  void OnAppended(std::uint64_t offset, const std::string& record);

  // Continues after ConfigState::ReplaceIfNewer has replaced the state.
  void OnStateReplaced();

  bool waiting_for_snapshot() const { return buffering_; }
  // One more than the highest offset known to be on the log.
  std::uint64_t known_next() const { return known_next_; }
  // First offset that the log retained at the last read.
  std::uint64_t first_retained() const { return first_retained_; }
  // Next offset of the newest state in a snapshot on the log; 0 for none.
  std::uint64_t snapshot_next() const { return snapshot_next_; }

 private:
  void ProcessSnapshot(const LogBatch::Record& record);
  void StartBuffer(std::uint64_t from);
  bool Buffer(const LogBatch::Record& record);
  void ApplyBuffer();

  ConfigState& state_;
  // Records are buffered until a snapshot makes them usable.
  bool buffering_ = false;
  // Offset of the first record in the buffer.
  std::uint64_t buffer_from_ = 0;
  std::size_t buffer_bytes_ = 0;
  std::deque<LogBatch::Record> buffer_;
  std::uint64_t known_next_ = 0;
  std::uint64_t first_retained_ = 0;
  std::uint64_t snapshot_next_ = 0;
};

}  // namespace coltsfoottide::core
