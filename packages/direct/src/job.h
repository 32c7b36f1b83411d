#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/job_outcome.h"
#include "coltsfoottide/direct/job_request.h"
#include "task.h"

namespace coltsfoottide::direct {

// A job in progress at an entry.
struct Job {
  JobRequest request;
  // See RunId.
  std::uint32_t submission = 0;
  // By step and index.
  std::vector<std::vector<Task>> steps;
  // Whether a task has started or may have started.
  bool MayHaveRun() const;
  // Whether so few tasks remain that the job's runs go before those of other
  // jobs.
  bool NearlyDone() const;
  // Being given up: answered as not run once all orders are withdrawn.
  bool withdrawing = false;
  std::string give_up_reason;
  // Queueing delay for which the job was refused; otherwise zero.
  core::Duration expected_wait{};
  // The answer has been given; runs are being stopped.
  bool finished = false;
  // Once finished, if submissions that arrive later get the same answer.
  std::optional<JobOutcome> final_outcome;
  // Another entry coordinates the job now: a resubmission needs a new claim.
  bool claim_lost = false;
  // A submission with the same id that arrived while the runs of this one were
  // being stopped. It starts once they have ended.
  std::optional<JobRequest> resubmission;
};

}  // namespace coltsfoottide::direct
