#pragma once

#include <array>
#include <cstdint>

namespace coltsfoottide::core {

// Replay window: stores the last 256 link sequence numbers of a session, so
// that a Start delivered twice is recognized after its task was acknowledged
// and removed.
class ReplayWindow {
 public:
  enum class Seen { kNew, kRefused, kStarted, kTooOld };

  // From now on, rejects Starts with a sequence number at or below the floor.
  void RaiseFloor(std::uint64_t floor) { floor_ = floor > floor_ ? floor : floor_; }

  Seen Find(std::uint64_t sequence) const {
    const Entry& entry = entries_[sequence % kEntries];
    if (entry.sequence == sequence && sequence != 0) {
      return entry.started ? Seen::kStarted : Seen::kRefused;
    }
    // The entry holds a newer number, so this one can no longer be
    // distinguished from a repeated one.
    return sequence <= floor_ || entry.sequence > sequence ? Seen::kTooOld : Seen::kNew;
  }

  void Add(std::uint64_t sequence, bool started) {
    Entry& entry = entries_[sequence % kEntries];
    if (sequence >= entry.sequence) {
      entry = {sequence, started};
    }
  }

 private:
  static constexpr std::size_t kEntries = 256;
  struct Entry {
    std::uint64_t sequence = 0;
    bool started = false;
  };
  std::uint64_t floor_ = 0;
  std::array<Entry, kEntries> entries_{};
};

}  // namespace coltsfoottide::core
