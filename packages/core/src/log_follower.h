#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "coltsfoottide/core/config_state.h"
#include "coltsfoottide/core/log_port.h"

namespace coltsfoottide::core {

// What a read of the log has brought.
enum class FollowResult {
  // Everything on the log at the time of the read is folded.
  kReachedEnd,
  // More records are waiting.
  kMore,
  // Needed records are gone; a snapshot further on is needed.
  kWaitingForSnapshot,
  // The log ends before what is folded, or its answer contradicts itself.
  kInconsistent,
};

// Folds the log into a configuration. When needed records are no longer
// retained, it buffers what follows until it has read a usable snapshot.
class LogFollower {
 public:
  // The state must outlive the follower.
  explicit LogFollower(ConfigState& state) : state_(state) {}

  // Offset to read from next.
  std::uint64_t NextRead() const;

  // Takes in the answer to a read; `known_at_start` is known_next() from when
  // the read was sent. An append that has ended since does not make the
  // answer inconsistent.
  FollowResult OnBatch(const LogBatch& batch, std::uint64_t known_at_start);

  // Takes in the own record that the log has stored at the offset.
  void OnAppended(std::uint64_t offset, const std::string& record);

  // Continues after the state was taken over from elsewhere.
  void OnAdopted();

  bool waiting_for_snapshot() const { return buffering_; }
  // One more than the highest offset known to be on the log.
  std::uint64_t known_next() const { return known_next_; }
  // First retained offset as last read.
  std::uint64_t first() const { return first_; }
  // Next offset of the newest state in a snapshot on the log; 0 for none.
  std::uint64_t snapshot_next() const { return snapshot_next_; }

 private:
  void NoteSnapshot(const LogBatch::Record& record);
  void StartBuffer(std::uint64_t from);
  bool Buffer(const LogBatch::Record& record);
  void FoldBuffer();

  ConfigState& state_;
  bool buffering_ = false;
  std::uint64_t buffer_from_ = 0;
  std::size_t buffer_bytes_ = 0;
  std::deque<LogBatch::Record> buffer_;
  std::uint64_t known_next_ = 0;
  std::uint64_t first_ = 0;
  std::uint64_t snapshot_next_ = 0;
};

}  // namespace coltsfoottide::core
