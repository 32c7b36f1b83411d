#pragma once

#include <chrono>
#include <cstdint>

#include "coltsfoottide/core/time.h"

// Times on which entries and agents have to agree, and their form in logs.
namespace coltsfoottide::daemon {

inline std::int64_t ToMs(core::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Runs of an entry that confirms nothing are stopped after this. A caller
// whose connection has broken submits again after 1.3 s at the earliest; the
// stop takes 50 ms more.
inline constexpr core::Duration kOwnerLease = std::chrono::milliseconds(700);

// An agent sends its state to an entry at least so often while it has runs of
// that entry, and otherwise.
inline constexpr core::Duration kBusyInterval = std::chrono::milliseconds(150);
inline constexpr core::Duration kIdleInterval = std::chrono::milliseconds(400);

// A connection on which nothing has arrived for so long is replaced: three
// intervals, so that one late packet does no harm.
inline constexpr core::Duration kBusySilence = std::chrono::milliseconds(500);
inline constexpr core::Duration kIdleSilence = std::chrono::milliseconds(1300);

// A connection that is not open by then is dialed again: the first packet to a
// machine that has just come back may be lost, and TCP repeats it after a
// second.
inline constexpr core::Duration kOpenLimit = std::chrono::milliseconds(200);

// Interval of decisions that wait for no event.
inline constexpr std::chrono::milliseconds kTick{20};

}  // namespace coltsfoottide::daemon
