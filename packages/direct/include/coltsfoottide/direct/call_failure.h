#pragma once

namespace coltsfoottide::direct {

// Why a call to a backend server has no result, and what this says about the incarnation that
// was called.
enum class CallFailure {
  // No answer: the call may have been carried out or may be carried out later. Says nothing.
  kNoAnswer,
  // The connection was refused, so the call was not sent. The incarnation may have ended, or
  // be cut off from this agent and run on.
  kRefused,
  // Another incarnation has answered, so the one that was called has ended.
  kWorkerGone,
};

}  // namespace coltsfoottide::direct
