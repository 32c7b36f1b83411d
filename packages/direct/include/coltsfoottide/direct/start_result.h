#pragma once

namespace coltsfoottide::direct {

// How a backend server answered an order to start.
enum class StartResult {
  kStarted,
  // Nothing has been done: no room, a run with a higher number is known, the
  // order came after its lease, or the backend server takes no orders now.
  kNoRoom,
  kNumberUsed,
  kTooLate,
  kUnhealthy,
  // A newer agent process has given orders; nothing has been done.
  kFenced,
  // The order is invalid for the backend server.
  kInvalid,
  // No process listens there.
  kGone,
  // No answer: it may be carried out, also later.
  kUnknown,
};

}  // namespace coltsfoottide::direct
