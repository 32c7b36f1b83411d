#pragma once

#include <chrono>

#include "coltsfoottide/core/time.h"

// Bounds that entries and agents must compute alike.
namespace coltsfoottide::direct {

// Shortest run time of a task with this estimate, as estimates are off by up to
// 40%. A run that may still end in time at this speed is not given up.
constexpr core::Duration MinRunTime(core::Duration estimate) {
  constexpr int kMinPercent = 60;
  return estimate * kMinPercent / 100;
}

// Longest time that a lease lasts at a backend server, whose clock may be 2%
// slow; one more percent covers rounding.
constexpr core::Duration MaxLease(core::Duration lease) {
  constexpr int kSlowClockPercent = 103;
  return lease * kSlowClockPercent / 100;
}

// How long entries and agents remember a crash of a backend server: longer than a job and
// its further submissions last.
inline constexpr core::Duration kCrashRetention = std::chrono::seconds(30);

// How long the outcome of a job is remembered: a duplicate of an answered submission may
// arrive some seconds later.
inline constexpr core::Duration kOutcomeRetention = std::chrono::seconds(10);

// How long an entry coordinates a job after it has sent the latest claim that another entry has
// confirmed. Recorders let a claim lapse later than that, by the time in which runs are stopped.
inline constexpr core::Duration kClaimLease = std::chrono::milliseconds(1150);

// What an entry reads has not waited for longer than this, unless the entry is slow or stood still.
// Together with the longest time between two stamps of an entry, it is shorter than the time after
// which callers come back.
inline constexpr core::Duration kMaxReadingDelay = std::chrono::milliseconds(250);

}  // namespace coltsfoottide::direct
