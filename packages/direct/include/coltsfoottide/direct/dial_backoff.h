#pragma once

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Paces the attempts to connect to one peer. After a loss of all machines the
// peers start within some tenths of a second of each other, so the first attempts
// follow each other closely. A peer that does not answer them may have been removed
// and is dialed less often.
class DialBackoff {
 public:
  // `max_interval`: the longest interval between two attempts.
  explicit DialBackoff(core::Duration max_interval) : max_interval_(max_interval) {}

  // Whether the next attempt may begin.
  bool IsDue(core::TimePoint now) const { return now >= due_; }
  void OnAttempt(core::TimePoint now);
  // How long the latest attempt may take. The first packet to a machine that has
  // just become reachable again may be lost, and TCP resends it only after a second.
  // Later attempts may take longer, so that a process that is slow to notice that a
  // connection has opened connects in the end.
  core::Duration AttemptLimit() const;
  // The peer has answered: the next attempt, after the connection has closed, is
  // due at once.
  void OnConnected();

 private:
  bool IsEarly() const { return attempts_ <= kEarlyAttempts; }

  // Machines that lose power together start within 0.3 s of each other.
  static constexpr int kEarlyAttempts = 8;

  core::Duration max_interval_;
  core::TimePoint due_;
  int attempts_ = 0;
};

}  // namespace coltsfoottide::direct
