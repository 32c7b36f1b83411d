#pragma once

namespace coltsfoottide::direct {

// A backend server's answer to a start call.
enum class StartResult {
  kStarted,
  // The run has not started: too few free resources, a run with a higher number
  // is known, the call arrived after its lease had expired, or the backend
  // server accepts no calls now.
  kNoRoom,
  kNumberUsed,
  kTooLate,
  kUnhealthy,
  // The run has not started: a newer agent process has sent calls.
  kFenced,
  // The backend server rejects the call as invalid.
  kInvalid,
  // No process listens at the backend server.
  kGone,
  // No answer: the run may have started or may start later.
  kUnknown,
};

}  // namespace coltsfoottide::direct
