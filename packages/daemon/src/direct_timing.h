#pragma once

#include <chrono>
#include <cstdint>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/time_bounds.h"

// Durations that entries and agents have to agree on, and their log format.
namespace coltsfoottide::daemon {

inline std::int64_t ToMs(core::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// An agent stops an entry's runs when the latest stamp that the entry has echoed
// is older than this. A caller whose connection has broken submits again after
// 1.3 s at the earliest; the stop takes 50 ms more.
inline constexpr core::Duration kOwnerLease = std::chrono::milliseconds(700);

// No run goes on for longer than this after its entry has last confirmed a message of the
// agent. Callers of a dead entry submit again after 1.3 s; the backend server's clock, by
// which the lease ends, may be 2% slow.
inline constexpr core::Duration kRunLimit = std::chrono::milliseconds(1200);

// Interval of the messages of an entry to another one that has nothing else to say.
inline constexpr core::Duration kPeerStampInterval = std::chrono::milliseconds(700);

// Delay of such a message by a process that is slow.
inline constexpr core::Duration kPeerJitter = std::chrono::milliseconds(250);

// Time after which an entry's claims lapse, when its runs are over: after its connection to the
// entry that records them has closed, and after its last message there. It may have gone on for a
// stamp interval after that message.
inline constexpr core::Duration kDisconnectedClaimLimit = kRunLimit + std::chrono::milliseconds(50);
inline constexpr core::Duration kSilentClaimLimit =
    kPeerStampInterval + kPeerJitter + kDisconnectedClaimLimit;

// Time from the end of a claim's lease until the runs of its job are over: a turn of the timer, a
// message between data centres and the stop.
inline constexpr core::Duration kLeaseEndMargin = std::chrono::milliseconds(100);
static_assert(direct::kClaimLease + kLeaseEndMargin <= kDisconnectedClaimLimit);

// Longest interval between two states that an agent sends to an entry: while
// it has runs of that entry, and while it has none.
inline constexpr core::Duration kBusyInterval = std::chrono::milliseconds(150);
inline constexpr core::Duration kIdleInterval = std::chrono::milliseconds(400);

// A connection on which nothing has arrived for this long is replaced. More
// than three state intervals, so that one late packet does not cause it.
inline constexpr core::Duration kBusySilence = std::chrono::milliseconds(500);
inline constexpr core::Duration kIdleSilence = std::chrono::milliseconds(1300);

// Interval of the timer for decisions that no event triggers.
inline constexpr std::chrono::milliseconds kTick{20};

}  // namespace coltsfoottide::daemon
