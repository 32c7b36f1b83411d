#pragma once

#include <string>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::console {

// The outcome of one job of a load run.
struct JobOutcome {
  std::uint64_t number = 0;
  std::string team;
  api::JobClass job_class = api::JOB_CLASS_UNSPECIFIED;
  int tasks = 0;
  core::Duration deadline{};
  // Ideal response time: the critical path plus one round trip.
  core::Duration ideal{};
  // Intended send time; the response time counts from it.
  core::TimePoint intended_at;
  // Time of the first attempt; unset when the job was never sent.
  core::TimePoint sent_at;
  core::TimePoint ended_at;
  int attempts = 0;
  // An answer was received; otherwise `state`, `verdict`, `reason` and `starts`
  // are unset.
  bool answered = false;
  // At least one attempt may have reached its peer.
  bool maybe_sent = false;
  // Empty for a direct call.
  std::string ticket;
  api::JobState state = api::JOB_STATE_UNSPECIFIED;
  api::Verdict verdict = api::VERDICT_UNSPECIFIED;
  api::Reason reason = api::REASON_UNSPECIFIED;
  std::string message;
  std::uint32_t starts = 0;
  // For a complete job: every task has one result, and it is the task's echo.
  bool results_ok = true;

  core::Duration response() const { return ended_at - intended_at; }
  bool complete() const { return answered && state == api::COMPLETE; }
  bool on_time() const { return answered && response() <= deadline; }
};

}  // namespace coltsfoottide::console
