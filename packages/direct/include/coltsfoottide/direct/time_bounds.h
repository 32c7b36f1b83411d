#pragma once

#include "coltsfoottide/core/time.h"

// Bounds on which the decisions of entries and agents have to agree.
namespace coltsfoottide::direct {

// The shortest run of a task with this estimate: estimates are off by up to
// 40%. What may still end in time by it is not given up.
constexpr core::Duration LeastRunTime(core::Duration estimate) {
  constexpr int kCertainPercent = 60;
  return estimate * kCertainPercent / 100;
}

// The longest that a lease lasts at a backend server, whose clock may be 2%
// slow; one more percent for rounding.
constexpr core::Duration LongestLease(core::Duration lease) {
  constexpr int kSlowClockPercent = 103;
  return lease * kSlowClockPercent / 100;
}

}  // namespace coltsfoottide::direct
