#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/agent_hello.h"
#include "coltsfoottide/direct/job_outcome.h"
#include "coltsfoottide/direct/job_request.h"
#include "coltsfoottide/direct/return_schedule.h"
#include "coltsfoottide/direct/run_report.h"
#include "coltsfoottide/direct/worker_fleet.h"

namespace coltsfoottide::direct {

class EntrySink;
struct Job;
struct PlacedTask;
struct Task;

// Coordinates the jobs of one entry: places tasks, runs them again after a
// proven end, moves them off slow backend servers, and refuses what cannot be
// done in time. One run of a task at a time; no I/O.
class JobDispatcher {
 public:
  struct Tuning {
    // Time after the last word of a silent agent by which its runs are over:
    // the agent's own limit for a silent entry, the lease of the backend
    // server and the time to stop.
    core::Duration silent_agent_bound;
    // Differs between entries.
    std::uint64_t seed = 0;
  };

  // `far_factor`: see WorkerFleet.
  JobDispatcher(const Tuning& tuning, std::string data_centre, double far_factor, EntrySink& sink);
  ~JobDispatcher();

  // Takes a job. One with the id of a job in progress joins it; one whose id
  // has just ended gets the same answer.
  void Submit(JobRequest request, core::TimePoint now);

  // The callers have gone or cancel the job: stops all its runs.
  void Cancel(const std::string& job, core::TimePoint now);

  // Whether the job is in progress.
  bool InProgress(const std::string& job) const;

  void OnWorkerDescription(const std::string& agent, const WorkerDescription& description);
  // `orders_seen` is how many orders on the present connection it covers.
  void OnWorkerState(const std::string& agent, const WorkerState& state, std::uint64_t orders_seen,
                     core::TimePoint now);
  void OnReport(const std::string& agent, const RunReport& report, core::TimePoint now);

  // A connection to the agent has opened. Runs that it does not list and
  // cannot have any more are over.
  void OnAgentHello(const AgentHello& hello, core::TimePoint now);

  // The connection to the agent has closed or is silent since `last_heard`.
  void OnAgentLost(const std::string& agent, core::TimePoint last_heard);

  // No start goes to these data centres.
  void SetEvacuated(const std::set<std::string>& data_centres);

  // Carries out what is due. Must be called every few tens of milliseconds
  // while jobs are in progress.
  void Advance(core::TimePoint now);

  // Whether a task of this entry is queued or running at the agent.
  bool HasRunsAt(const std::string& agent) const;

  // Jobs in progress.
  std::size_t size() const { return jobs_.size(); }
  // Jobs of the route, by its name, of which no task has started.
  std::size_t CountWaiting(const std::string& route) const;

 private:
  struct Ended {
    std::string job;
    JobOutcome outcome;
    core::TimePoint time;
  };

  void Begin(std::unique_ptr<Job> owned, core::TimePoint now);
  bool Admit(Job& job, core::TimePoint now);
  core::Duration OwnWait(const Job& job, core::Duration start_delay) const;
  void PlaceReady(Job& job, core::TimePoint now);
  bool Place(Job& job, std::uint32_t step, std::uint32_t index, std::vector<PlacedTask>& placed,
             core::TimePoint now);
  void UnlockSteps(Job& job);
  // Runs that are queued or running at the agent, as far as is known.
  std::vector<RunId> RunsAt(const std::string& agent) const;
  Task* FindRun(const std::string& agent, const RunId& id, Job** job);
  void OnRunOver(Job& job, Task& task, bool may_have_run, core::TimePoint now);
  void OnDone(Job& job, Task& task, core::TimePoint now);
  // Tells agents of runs that wait and of which few are left.
  void ExpediteRest(Job& job);
  void OnFailed(Job& job, Task& task, core::TimePoint now);
  void MoveIfSlow(Job& job, std::uint32_t step, Task& task, const RunId& id,
                  core::Duration remaining, core::TimePoint now);
  // Ends the job; runs that are left are stopped.
  void Finish(Job& job, const JobOutcome& outcome, core::TimePoint now);
  void StopRuns(Job& job);
  void GiveUp(Job& job, const std::string& reason, core::TimePoint now);
  // Ends a job of which nothing has started and no order is out.
  void Refuse(Job& job, const std::string& reason, core::TimePoint now);
  // Asks for the run back unless it has started.
  void Withdraw(Task& task, const RunId& id);
  // Removes a finished job once none of its runs is left.
  void RemoveIfOver(const std::string& id, core::TimePoint now);
  void AdvanceJob(Job& job, core::TimePoint now);
  void MoveWaiting(Job& job, core::TimePoint now);
  void Remember(const std::string& job, const JobOutcome& outcome, core::TimePoint now);

  Tuning tuning_;
  EntrySink& sink_;
  WorkerFleet fleet_;
  ReturnSchedule returns_;
  std::map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<std::string, std::uint64_t> incarnations_;
  std::map<std::string, std::size_t> runs_at_;
  std::deque<Ended> ended_;
  // Waiting runs that may still be withdrawn in this call of Advance.
  int withdrawals_left_ = 0;
};

}  // namespace coltsfoottide::direct
