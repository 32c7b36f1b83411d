#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/direct/crash_verdict.h"
#include "coltsfoottide/direct/job_outcome.h"
#include "coltsfoottide/direct/job_request.h"
#include "coltsfoottide/direct/placed_task.h"
#include "coltsfoottide/direct/run_id.h"
#include "coltsfoottide/direct/run_order.h"

namespace coltsfoottide::direct {

// Receives the decisions of an entry's JobDispatcher and carries them out.
class EntrySink {
 public:
  virtual ~EntrySink() = default;

  // Sends the outcome of a job to its callers. Called once for each execution,
  // and again for a submission that repeats a job which has just ended.
  virtual void Answer(const std::string& job, const JobOutcome& outcome) = 0;
  // No run of the job is left, and none follows. `outcome`: if submissions of the job that
  // arrive later get the same answer.
  virtual void OnJobRemoved(const std::string& job, const std::optional<JobOutcome>& outcome) = 0;
  // The job has been submitted again, and has to be claimed before it is coordinated here.
  virtual void OnClaimNeeded(JobRequest request, core::TimePoint now) = 0;
  virtual void SendOrder(const std::string& agent, const RunOrder& order) = 0;
  // Reports the orders of one placement decision and their reasons, for logs.
  virtual void OnPlaced(const std::string& job, const std::vector<PlacedTask>& placed,
                        core::TimePoint now) = 0;
  // Stops a run, or removes it from the agent's queue.
  virtual void SendStop(const std::string& agent, const RunId& id) = 0;
  // Removes a run from the agent's queue unless it has started.
  virtual void SendWithdraw(const std::string& agent, const RunId& id) = 0;
  // Raises the priority of a queued run whose job is nearly done.
  virtual void SendExpedite(const std::string& agent, const RunId& id) = 0;
  // The run is taken as over without its end having been seen, and the task may be placed
  // again; for logs.
  virtual void OnRunTakenAsOver(const std::string& agent, const RunId& id,
                                const std::string& reason) = 0;
  // The task is not started again after this many crashes, for logs.
  virtual void OnCrashVerdict(const CrashVerdict& verdict, std::size_t crashes) = 0;
  // A task of the route was found to crash backend servers. Must be sent to all other
  // entries.
  virtual void OnCrashingRoute(const std::string& route) = 0;
  // The route is confined to these agents, or to none any more if it is empty, for logs.
  virtual void OnIsolationChanged(const std::string& route,
                                  const std::set<std::string>& agents) = 0;
  // Claims the run for this entry at an agent that may have restarted.
  virtual void SendClaim(const std::string& agent, const RunId& id, const Resources& need) = 0;
};

}  // namespace coltsfoottide::direct
