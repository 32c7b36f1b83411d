#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/agent_hello.h"
#include "coltsfoottide/direct/crash_correlation.h"
#include "coltsfoottide/direct/crash_history.h"
#include "coltsfoottide/direct/crashing_routes.h"
#include "coltsfoottide/direct/job_outcome.h"
#include "coltsfoottide/direct/job_request.h"
#include "coltsfoottide/direct/overload_policy.h"
#include "coltsfoottide/direct/retry_schedule.h"
#include "coltsfoottide/direct/route_isolation.h"
#include "coltsfoottide/direct/run_report.h"
#include "coltsfoottide/direct/shedding_policy.h"
#include "coltsfoottide/direct/worker_fleet.h"

namespace coltsfoottide::direct {

class EntrySink;
struct AdmissionRequest;
struct Job;
struct PlacedTask;
struct PlacementChoice;
struct Task;

// Coordinates the jobs of one entry: places tasks, retries a task once its
// earlier run has certainly ended, moves tasks off slow backend servers, and
// refuses jobs that cannot be done in time. A task has one run at a time. Does
// no I/O.
class JobDispatcher {
 public:
  struct Tuning {
    // Time after the last message from an agent by which its runs have ended:
    // the agent's own timeout for a silent entry, plus the lease of the backend
    // server and the time to stop a run.
    core::Duration silent_agent_timeout;
    // Seed of the random choices; differs between entries.
    std::uint64_t seed = 0;
    // Number of the first submission, see RunId. Random, so that the submissions of a job
    // through different entries have different numbers.
    std::uint32_t first_submission = 1;
    // What is refused or given up under overload.
    OverloadPolicy overload_policy = OverloadPolicy::kShared;
    // Whether lasting differences in speed between backend servers count in placement.
    bool compare_speeds = false;
  };

  // `far_factor`: see WorkerFleet.
  JobDispatcher(const Tuning& tuning, std::string data_centre, double far_factor, EntrySink& sink);
  ~JobDispatcher();

  // Accepts or refuses a job. One with the id of a job in progress joins it;
  // one whose id has recently completed, failed or been cancelled gets the same
  // answer.
  void Submit(JobRequest request, core::TimePoint now);

  // Cancels a job at its callers' request: answers it as cancelled, stops its
  // runs, and answers submissions with this id that arrive later in the same
  // way, also if the job is not known here.
  void Cancel(const std::string& job, core::TimePoint now);

  // Jobs that have been cancelled lately, for entries that connect.
  std::vector<std::string> RecentCancels(core::TimePoint now) const;

  // The callers of a job have disconnected: stops its runs. The job may be
  // submitted again.
  void Abandon(const std::string& job, core::TimePoint now);

  bool InProgress(const std::string& job) const;
  // Whether the job is in progress or its runs are being stopped.
  bool HasJob(const std::string& job) const { return jobs_.contains(job); }
  // Whether the job is in progress, its runs are being stopped, or its outcome is remembered:
  // a submission needs no new claim.
  bool Knows(const std::string& job, core::TimePoint now) const;

  // The caller of a job in progress waits until `deadline`, possibly at another entry.
  void ExtendDeadline(const std::string& job, core::TimePoint deadline);

  // Gives up a job that another entry coordinates now, or may soon. Returns whether it was not
  // given up before. `reason`: for logs.
  bool Yield(const std::string& job, const std::string& reason, core::TimePoint now);

  // Gives up all jobs: this process has stood still for so long that other entries may
  // coordinate them now.
  void YieldAll(core::TimePoint now);

  void OnWorkerDescription(const std::string& agent, const WorkerDescription& description);
  // `orders_seen` is the number of orders on the current connection that the
  // state accounts for.
  void OnWorkerState(const std::string& agent, const WorkerState& state, std::uint64_t orders_seen,
                     core::TimePoint now);
  void OnReport(const std::string& agent, const RunReport& report, core::TimePoint now);

  // The agent's backend server has crashed. Must be called before the reports of the
  // ends of its runs.
  void OnWorkerCrash(const std::string& agent, const WorkerCrash& crash, core::TimePoint now);

  // Another entry has found, at `time`, that a task of the route crashes backend servers.
  void OnCrashingRoute(const std::string& route, core::TimePoint time, core::TimePoint now);
  // The routes with recent findings and their times, for entries that connect.
  std::map<std::string, core::TimePoint> RecentCrashingRoutes(core::TimePoint now) const {
    return crashing_routes_.Recent(now);
  }

  // Another entry isolates the route for crashes until `last_crash`.
  void OnPeerIsolation(const std::string& route, core::TimePoint last_crash, core::TimePoint now);
  // The isolated routes and the times of the last crashes for which they are isolated, for
  // entries that connect.
  std::map<std::string, core::TimePoint> IsolatedRoutes(core::TimePoint now) const;

  // A connection to the agent has opened. Runs that the agent does not list and
  // can no longer have are treated as ended. Nothing is placed there by what was known of its
  // backend server before.
  void OnAgentHello(const AgentHello& hello, core::TimePoint now);

  // The connection to the agent has closed, or nothing has arrived on it since
  // `last_heard`.
  void OnAgentLost(const std::string& agent, core::TimePoint last_heard);

  // Excludes these data centres from placement.
  void SetEvacuated(const std::set<std::string>& data_centres);

  // Carries out due retries, moves and timeouts. Must be called every few tens
  // of milliseconds while jobs are in progress.
  void Advance(core::TimePoint now);

  // Whether a task of this entry is queued or running at the agent.
  bool HasRunsAt(const std::string& agent) const;

  // Number of jobs that are unanswered or whose runs are still being stopped.
  std::size_t size() const { return jobs_.size(); }
  // Number of jobs of the route with this name of which no task has started.
  std::size_t CountWaiting(const std::string& route) const;

 private:
  struct EndedJob {
    std::string job;
    JobOutcome outcome;
    core::TimePoint time;
  };

  std::unique_ptr<Job> MakeJob(JobRequest request);
  void Begin(std::unique_ptr<Job> owned, core::TimePoint now);
  bool Admit(Job& job, core::TimePoint now);
  // The job and the load that it meets at its best backend server.
  AdmissionRequest LoadFor(const Job& job, const PlacementChoice& choice);
  core::Duration OwnQueueingDelay(const Job& job, core::Duration start_delay) const;
  void PlaceReady(Job& job, core::TimePoint now);
  bool Place(Job& job, std::uint32_t step, std::uint32_t index,
             std::vector<StepCandidate>& candidates, std::vector<PlacedTask>& placed,
             core::TimePoint now);
  void UnlockSteps(Job& job);
  // Agents that isolation keeps from the job's route.
  WorkerFleet::Exclusion OutsideIsolation(const Job& job) const;
  // Whether isolation limits the step to a part of the fleet. It does not if too few of the
  // backend servers in that part meet the step's requirements.
  bool IsLimited(const Job& job, const StepRequest& step) const;
  // Agents that the step may not use.
  WorkerFleet::Exclusion UnusableFor(const Job& job, const StepRequest& step) const;
  // Chooses the backend servers of isolated routes anew.
  void AssignIsolated(core::TimePoint now);
  // Gives up the tasks that the crash shows to be its cause.
  void RecordCrash(const std::string& agent, const WorkerCrash& crash, core::TimePoint now);
  void FinishByVerdict(Job& job, const CrashVerdict& verdict, core::TimePoint now);
  // Isolates the routes with recent findings whose service has lost too much to crashes.
  void IsolateHarmfulRoutes(core::TimePoint now);
  // Runs that are queued or running at the agent as far as this entry knows.
  std::vector<RunId> RunsAt(const std::string& agent) const;
  Task* FindRun(const std::string& agent, const RunId& id, Job** job);
  // Whether the run is of a submission that has ended at this entry, or the task has had this
  // or a later run. If FindRun does not find the run, it has been taken as over and must not
  // continue.
  bool IsSuperseded(const RunId& id) const;
  void OnRunEnded(Job& job, Task& task, bool may_have_run, core::TimePoint now);
  void OnDone(Job& job, Task& task, core::TimePoint now);
  // Expedites the queued runs of a job that is nearly done.
  void ExpediteRemaining(Job& job);
  void OnFailed(Job& job, Task& task, core::TimePoint now);
  void MoveIfSlow(Job& job, std::uint32_t step, Task& task, const RunId& id,
                  core::Duration remaining, core::TimePoint now);
  // Answers the job and stops its remaining runs.
  void Finish(Job& job, const JobOutcome& outcome, core::TimePoint now);
  void StopRuns(Job& job);
  void GiveUp(Job& job, const std::string& reason, core::TimePoint now);
  // Answers a job as not run. Nothing of it has started and no order is
  // outstanding.
  void Refuse(Job& job, const std::string& reason, core::TimePoint now);
  // Asks the agent to drop the run unless it has started.
  void Withdraw(Task& task, const RunId& id);
  // Removes a finished job once none of its runs is left.
  void RemoveIfEnded(const std::string& id, core::TimePoint now);
  static bool HasDueWork(const Job& job, core::TimePoint now);
  void AdvanceJob(Job& job, core::TimePoint now);
  // Gives up jobs that shrinking capacity has made late.
  void ShedWaitingJobs(core::TimePoint now);
  void MoveQueuedRuns(Job& job, core::TimePoint now);
  // The oldest remembered outcome of the job, or null.
  const EndedJob* FindEnded(const std::string& job) const;
  void Remember(EndedJob ended);
  void ForgetOutcomes(core::TimePoint now);

  Tuning tuning_;
  std::uint32_t next_submission_;
  EntrySink& sink_;
  WorkerFleet fleet_;
  SheddingPolicy shedding_;
  CrashHistory crash_history_;
  CrashCorrelation crash_correlation_;
  CrashingRoutes crashing_routes_;
  RouteIsolation isolation_;
  // Agents by service among which isolated routes have their share.
  std::map<std::string, std::vector<std::string>> expected_agents_;
  // As last reported to the sink.
  std::map<std::string, std::set<std::string>> reported_isolation_;
  core::TimePoint assign_due_;
  // When the speeds of the backend servers are to be compared again.
  core::TimePoint compare_speeds_due_;
  // By isolated route, and empty for all others: callers of routes that have their own
  // backend servers do not wait for each other.
  std::map<std::string, RetrySchedule> retry_schedules_;
  std::map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<std::string, std::size_t> runs_at_;
  std::deque<EndedJob> ended_;
  // The ids in `ended_`, each as often as there: nearly all submissions are not among them.
  std::unordered_multiset<std::string> ended_ids_;
  // Queued runs that this call of Advance may still withdraw.
  int withdrawals_left_ = 0;
};

}  // namespace coltsfoottide::direct
