#pragma once

#include <functional>

#include "coltsfoottide/console/generated_job.h"
#include "coltsfoottide/console/job_outcome.h"

namespace coltsfoottide::console {

// Sends the jobs of a load run. Called by LoadRunner.
class JobSender {
 public:
  using Done = std::function<void(JobOutcome)>;

  virtual ~JobSender() = default;

  // Sends a job and calls `done` once, with the fields of `outcome` from
  // `sent_at` on filled in.
  virtual void Send(GeneratedJob job, JobOutcome outcome, Done done) = 0;
};

}  // namespace coltsfoottide::console
