#pragma once

#include <string>
#include <vector>

#include "coltsfoottide/direct/job_outcome.h"
#include "coltsfoottide/direct/placed_task.h"
#include "coltsfoottide/direct/run_id.h"
#include "coltsfoottide/direct/run_order.h"

namespace coltsfoottide::direct {

// Carries out what an entry's dispatcher decides.
class EntrySink {
 public:
  virtual ~EntrySink() = default;

  // Answers the callers of a job; each job is answered once.
  virtual void Answer(const std::string& job, const JobOutcome& outcome) = 0;
  virtual void SendOrder(const std::string& agent, const RunOrder& order) = 0;
  // Tells, for logs, why the orders of one decision went where they did.
  virtual void OnPlaced(const std::string& job, const std::vector<PlacedTask>& placed,
                        core::TimePoint now) = 0;
  // Ends a run, or takes it out of the agent's queue.
  virtual void SendStop(const std::string& agent, const RunId& id) = 0;
  // Takes a run out of the agent's queue unless it has started.
  virtual void SendWithdraw(const std::string& agent, const RunId& id) = 0;
  // Little work besides the run completes its job.
  virtual void SendExpedite(const std::string& agent, const RunId& id) = 0;
  // Tells an agent with a new process that the run is this entry's.
  virtual void SendClaim(const std::string& agent, const RunId& id) = 0;
};

}  // namespace coltsfoottide::direct
