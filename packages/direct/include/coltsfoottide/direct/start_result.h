#pragma once

namespace coltsfoottide::direct {

// A backend server's answer to a start call.
enum class StartResult {
  kStarted,

  // The results from here to kFenced mean that this call has not started the run.

  // Too few free resources.
  kNoResources,
  // The backend server has seen a run of the task with a higher number.
  kNumberUsed,
  // The call arrived after its lease had expired.
  kLeaseExpired,
  // The backend server accepts no calls now.
  kUnhealthy,
  // A newer agent process has sent calls.
  kFenced,

  // The backend server rejects the call as invalid.
  kInvalid,
  // The connection was refused, so the call was not sent, see CallFailure::kRefused.
  kRefused,
  // Another incarnation has answered, so the one that was called has ended.
  kWorkerGone,
  // No answer: the run may have started or may start later.
  kUnknown,
};

}  // namespace coltsfoottide::direct
