#include "coltsfoottide/direct/job_dispatcher.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "coltsfoottide/direct/admission_request.h"
#include "coltsfoottide/direct/admission_verdict.h"
#include "coltsfoottide/direct/cpu_work.h"
#include "coltsfoottide/direct/critical_path.h"
#include "coltsfoottide/direct/entry_sink.h"
#include "coltsfoottide/direct/time_bounds.h"
#include "coltsfoottide/direct/waiting_job.h"
#include "job.h"

namespace coltsfoottide::direct {

namespace {

// Speeds are medians of runs of up to 20 s, so they change little meanwhile.
constexpr core::Duration kSpeedInterval = std::chrono::milliseconds(200);

// Work of all tasks of the step in millicore-milliseconds.
std::uint64_t StepWork(const StepRequest& step) {
  return step.count * CpuWork(step.need, step.estimate);
}

std::uint64_t TotalWork(const Job& job) {
  std::uint64_t work = 0;
  for (const StepRequest& it : job.request.steps) work += StepWork(it);
  return work;
}

bool HasRuns(const Job& job) {
  return std::any_of(job.steps.begin(), job.steps.end(), [](const std::vector<Task>& tasks) {
    return std::any_of(tasks.begin(), tasks.end(), [](const Task& it) { return it.HasRun(); });
  });
}

// Calls `visit(Task&, const RunId&)` with each task that `matches` and its latest run.
template <typename JobType, typename Matches, typename Visit>
void ForEachTask(JobType& job, Matches matches, Visit visit) {
  for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
    for (std::uint32_t index = 0; index < job.steps[step].size(); ++index) {
      auto& task = job.steps[step][index];
      if (!matches(task)) continue;
      visit(task, RunId{TaskId{job.request.id, step, index}, task.run_number, job.submission});
    }
  }
}

// Whether an ordered run counts as queued at its agent.
bool IsQueued(const Task& task, core::TimePoint now) {
  // Time after which an order without a report counts as queued; one that finds
  // free resources is reported as started well before.
  constexpr core::Duration kStartReportTimeout = std::chrono::milliseconds(40);
  return task.reported_queued || now - task.ordered_at >= kStartReportTimeout;
}

// Whether the run may be of the job's present submission.
bool IsOfSubmission(const RunId& id, const Job& job) {
  return id.submission == 0 || id.submission == job.submission;
}

}  // namespace

JobDispatcher::JobDispatcher(const Tuning& tuning, std::string data_centre, double far_factor,
                             EntrySink& sink)
    : tuning_(tuning),
      next_submission_(tuning.first_submission),
      sink_(sink),
      fleet_(std::move(data_centre), far_factor, tuning.seed),
      shedding_(tuning.overload_policy) {}

JobDispatcher::~JobDispatcher() = default;

std::unique_ptr<Job> JobDispatcher::MakeJob(JobRequest request) {
  auto job = std::make_unique<Job>();
  for (const StepRequest& step : request.steps) job->steps.emplace_back(step.count);
  job->request = std::move(request);
  // Zero stands for an unknown submission.
  if (next_submission_ == 0) ++next_submission_;
  job->submission = next_submission_++;
  return job;
}

void JobDispatcher::Submit(JobRequest request, core::TimePoint now) {
  ForgetOutcomes(now);
  if (const EndedJob* ended = FindEnded(request.id)) {
    return sink_.Answer(ended->job, ended->outcome);
  }
  if (const auto it = jobs_.find(request.id); it != jobs_.end()) {
    if (!it->second->finished) return ExtendDeadline(request.id, request.deadline);
    it->second->resubmission = std::move(request);
    return;
  }
  Begin(MakeJob(std::move(request)), now);
}

void JobDispatcher::Begin(std::unique_ptr<Job> owned, core::TimePoint now) {
  const std::string id = owned->request.id;
  Job& job = *jobs_.emplace(id, std::move(owned)).first->second;
  UnlockSteps(job);
  if (const auto verdict = crash_history_.VerdictOn(id)) {
    FinishByVerdict(job, *verdict, now);
  } else if (Admit(job, now)) {
    PlaceReady(job, now);
  }
  RemoveIfEnded(id, now);
}

// Refuses a job at once if the backlog makes its answer useless, or if the queues
// are so long that they make other jobs late.
bool JobDispatcher::Admit(Job& job, core::TimePoint now) {
  const StepRequest& first = job.request.steps.front();
  isolation_.OnSubmit(job.request.service, job.request.route, TotalWork(job), now);
  if (isolation_.IsPending(job.request.route, now)) AssignIsolated(now);
  const core::Duration critical_path = CriticalPathTime(job.request.steps);
  shedding_.OnSubmit(job.request.priority, job.request.objective - now - critical_path, now);
  const auto unusable = UnusableFor(job, first);
  const auto choice = fleet_.Choose(job.request.service, first, {}, unusable);
  // Without a backend server the job waits for one to return; PlaceReady refuses it if its
  // route is isolated.
  if (!choice || isolation_.IsPending(job.request.route, now)) return true;
  const core::Duration slowdown =
      std::max(choice->run_time - first.estimate, core::Duration::zero());
  const core::Duration wait = choice->start_delay + OwnQueueingDelay(job, choice->start_delay);
  const bool useful = now + wait + critical_path + slowdown <= job.request.useful_until;
  // The delay at the best backend server alone is too optimistic for jobs of
  // several tasks, and for several entries that see the same one.
  const core::Duration backlog = fleet_.Backlog(job.request.service, unusable);
  const core::Duration delay = std::max(choice->least_delay, backlog);
  AdmissionRequest load = LoadFor(job, *choice);
  load.useful = useful;
  load.backlog = backlog;
  const AdmissionVerdict verdict = shedding_.Decide(load, now);
  if (verdict == AdmissionVerdict::kAdmit) return true;
  job.expected_wait = std::max(wait, delay);
  GiveUp(job, verdict == AdmissionVerdict::kBacklog ? "backlog" : "more urgent work", now);
  return false;
}

AdmissionRequest JobDispatcher::LoadFor(const Job& job, const PlacementChoice& choice) {
  const auto priority = static_cast<std::uint32_t>(PriorityClass(job.request.priority));
  AdmissionRequest load;
  load.priority = priority;
  load.work = TotalWork(job);
  load.start_delay = choice.least_delay;
  if (tuning_.overload_policy == OverloadPolicy::kShared) return load;
  const auto unusable = UnusableFor(job, job.request.steps.front());
  const auto less_urgent = [&](std::uint32_t than) {
    return fleet_.LessUrgentBacklog(job.request.service, than, unusable);
  };
  load.less_urgent_start_delay =
      std::min(fleet_.Get(choice.agent).LessUrgentDelay(priority), load.start_delay);
  load.less_urgent_backlog = less_urgent(priority);
  if (priority > 0) load.equal_backlog = less_urgent(priority - 1) - load.less_urgent_backlog;
  return load;
}

// If there is a queue, the tasks of a wide job also wait for each other.
core::Duration JobDispatcher::OwnQueueingDelay(const Job& job, core::Duration start_delay) const {
  if (start_delay == core::Duration::zero()) return core::Duration::zero();
  const auto unusable = UnusableFor(job, job.request.steps.front());
  const std::uint64_t capacity = fleet_.Capacity(job.request.service, unusable);
  if (capacity == 0) return core::Duration::zero();
  return std::chrono::milliseconds(StepWork(job.request.steps.front()) / capacity);
}

void JobDispatcher::UnlockSteps(Job& job) {
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    const std::vector<std::uint32_t>& after = job.request.steps[i].after;
    const bool open = std::all_of(after.begin(), after.end(), [&job](std::uint32_t before) {
      return std::all_of(job.steps[before].begin(), job.steps[before].end(),
                         [](const Task& it) { return it.state == Task::State::kDone; });
    });
    if (!open) continue;
    for (Task& it : job.steps[i]) {
      if (it.state == Task::State::kBlocked) it.state = Task::State::kReady;
    }
  }
}

void JobDispatcher::PlaceReady(Job& job, core::TimePoint now) {
  if (job.finished || job.withdrawing) return;
  std::vector<PlacedTask> placed;
  bool more = true;
  for (std::uint32_t step = 0; more && step < job.steps.size(); ++step) {
    const auto is_ready = [](const Task& it) { return it.state == Task::State::kReady; };
    if (std::none_of(job.steps[step].begin(), job.steps[step].end(), is_ready)) continue;
    const StepRequest& request = job.request.steps[step];
    std::vector<StepCandidate> candidates;
    // While the isolation of the route is pending, its jobs wait.
    if (!isolation_.IsPending(job.request.route, now)) {
      candidates = fleet_.FindCandidates(job.request.service, request, UnusableFor(job, request));
    }
    for (std::uint32_t index = 0; more && index < job.steps[step].size(); ++index) {
      if (!is_ready(job.steps[step][index])) continue;
      more = Place(job, step, index, candidates, placed, now);
    }
  }
  if (!placed.empty()) sink_.OnPlaced(job.request.id, placed, now);
}

// Orders a run of the task. Returns whether the next ready task can be tried.
bool JobDispatcher::Place(Job& job, std::uint32_t step, std::uint32_t index,
                          std::vector<StepCandidate>& candidates, std::vector<PlacedTask>& placed,
                          core::TimePoint now) {
  const StepRequest& request = job.request.steps[step];
  Task& task = job.steps[step][index];
  const auto has_most = [&job, step, &request](const std::string& agent) {
    const auto here =
        std::count_if(job.steps[step].begin(), job.steps[step].end(),
                      [&agent](const Task& it) { return it.HasRun() && it.agent == agent; });
    return static_cast<std::uint32_t>(here) >= request.max_per_worker;
  };
  const auto choice = fleet_.ChooseFrom(
      candidates, task.avoided_agents,
      request.max_per_worker == 0 ? WorkerFleet::Exclusion() : WorkerFleet::Exclusion(has_most));
  const core::Duration delay = choice ? choice->start_delay : core::Duration::zero();
  if (now + delay + MinRunTime(request.estimate) > job.request.useful_until) {
    GiveUp(job, choice ? "too late" : "no backend server", now);
    return false;
  }
  if (!choice) {
    // The backend servers of an isolated route are back only after seconds.
    const bool confined = isolation_.IsIsolated(job.request.route) && IsLimited(job, request);
    if (confined && !isolation_.IsPending(job.request.route, now)) GiveUp(job, "isolated", now);
    return false;
  }
  task.agent = choice->agent;
  task.state = Task::State::kOrdered;
  task.reported_queued = false;
  task.ordered_at = now;
  task.expedited = job.NearlyDone();
  ++task.run_number;
  ++runs_at_[choice->agent];
  fleet_.OnOrder(choice->agent, request, job.request.priority, candidates);
  const RunId id{TaskId{job.request.id, step, index}, task.run_number, job.submission};
  placed.push_back(PlacedTask{id, *choice});
  sink_.SendOrder(
      choice->agent,
      RunOrder{id, job.request.payload, request.need, request.estimate, job.request.objective,
               job.request.useful_until, task.expedited, job.request.priority,
               fleet_.Get(choice->agent).description().incarnation, job.request.route});
  return true;
}

void JobDispatcher::Cancel(const std::string& id, core::TimePoint now) {
  Abandon(id, now);
  ForgetOutcomes(now);
  if (FindEnded(id) == nullptr) {
    Remember({id, {JobOutcome::Kind::kCancelled, "cancelled", {}}, now});
  }
}

std::vector<std::string> JobDispatcher::RecentCancels(core::TimePoint now) const {
  std::vector<std::string> jobs;
  for (const EndedJob& it : ended_) {
    const bool recent = now - it.time <= kOutcomeRetention;
    if (recent && it.outcome.kind == JobOutcome::Kind::kCancelled) jobs.push_back(it.job);
  }
  return jobs;
}

void JobDispatcher::Abandon(const std::string& id, core::TimePoint now) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const JobOutcome cancelled{JobOutcome::Kind::kCancelled, "cancelled", {}};
  if (!it->second->finished) {
    Finish(*it->second, cancelled, now);
  } else if (it->second->resubmission) {
    it->second->resubmission.reset();
    sink_.Answer(id, cancelled);
  }
  RemoveIfEnded(id, now);
}

bool JobDispatcher::InProgress(const std::string& job) const {
  const auto it = jobs_.find(job);
  return it != jobs_.end() && (!it->second->finished || it->second->resubmission);
}

bool JobDispatcher::Knows(const std::string& job, core::TimePoint now) const {
  if (jobs_.contains(job)) return true;
  return ended_ids_.contains(job) &&
         std::any_of(ended_.begin(), ended_.end(), [&job, now](const EndedJob& it) {
           return it.job == job && now - it.time <= kOutcomeRetention;
         });
}

void JobDispatcher::ExtendDeadline(const std::string& job, core::TimePoint deadline) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return;
  JobRequest& request = it->second->request;
  request.deadline = std::max(request.deadline, deadline);
  request.useful_until = std::max(request.useful_until, deadline);
}

bool JobDispatcher::Yield(const std::string& job, const std::string& reason, core::TimePoint now) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end() || it->second->claim_lost) return false;
  const JobOutcome outcome{JobOutcome::Kind::kMayHaveRun, reason, {}};
  it->second->claim_lost = true;
  if (!it->second->finished) Finish(*it->second, outcome, now);
  RemoveIfEnded(job, now);
  return true;
}

void JobDispatcher::YieldAll(core::TimePoint now) {
  std::vector<std::string> ids;
  for (const auto& [id, job] : jobs_) ids.push_back(id);
  for (const std::string& it : ids) Yield(it, "process stood still", now);
}

void JobDispatcher::OnWorkerDescription(const std::string& agent,
                                        const WorkerDescription& description) {
  fleet_.Get(agent).OnDescription(description);
}

void JobDispatcher::OnWorkerState(const std::string& agent, const WorkerState& state,
                                  std::uint64_t orders_seen, core::TimePoint now) {
  WorkerView& view = fleet_.Get(agent);
  const bool returned = state.ready && !view.state().ready;
  view.OnState(state, orders_seen, now);
  if (tuning_.compare_speeds && now >= compare_speeds_due_) {
    fleet_.CompareSpeeds();
    compare_speeds_due_ = now + kSpeedInterval;
  }
  if (returned && isolation_.active()) AssignIsolated(now);
}

Task* JobDispatcher::FindRun(const std::string& agent, const RunId& id, Job** job) {
  const auto it = jobs_.find(id.task.job);
  if (it == jobs_.end() || !IsOfSubmission(id, *it->second)) return nullptr;
  if (id.task.step >= it->second->steps.size()) return nullptr;
  std::vector<Task>& tasks = it->second->steps[id.task.step];
  if (id.task.index >= tasks.size()) return nullptr;
  Task& task = tasks[id.task.index];
  if (!task.HasRun() || task.agent != agent || task.run_number != id.number) return nullptr;
  *job = it->second.get();
  return &task;
}

bool JobDispatcher::IsSuperseded(const RunId& id) const {
  const auto it = jobs_.find(id.task.job);
  if (it == jobs_.end()) return id.submission != 0;
  if (!IsOfSubmission(id, *it->second)) return true;
  if (id.task.step >= it->second->steps.size()) return false;
  const std::vector<Task>& tasks = it->second->steps[id.task.step];
  return id.task.index < tasks.size() && id.number <= tasks[id.task.index].run_number;
}

void JobDispatcher::OnReport(const std::string& agent, const RunReport& report,
                             core::TimePoint now) {
  // Skips run numbers that another entry may have used for the task.
  constexpr std::uint32_t kRunNumberStep = 64;
  Job* job = nullptr;
  Task* task = FindRun(agent, report.id, &job);
  if (task == nullptr) {
    if (report.IsUnfinished() && IsSuperseded(report.id)) sink_.SendStop(agent, report.id);
    return;
  }
  switch (report.kind) {
    case RunReport::Kind::kQueued:
      if (task->state == Task::State::kUnreachable || task->state == Task::State::kStarted) {
        task->state = Task::State::kOrdered;
      }
      task->reported_queued = true;
      break;
    case RunReport::Kind::kStarted:
      job->withdrawing = false;
      if (task->state != Task::State::kStopping || task->may_continue) {
        task->state = Task::State::kStarted;
      }
      if (job->finished) break;
      MoveIfSlow(*job, report.id.task.step, *task, report.id, report.remaining, now);
      break;
    case RunReport::Kind::kDone:
      OnDone(*job, *task, now);
      break;
    case RunReport::Kind::kFailed:
      OnFailed(*job, *task, now);
      break;
    case RunReport::Kind::kLost:
      if (task->state != Task::State::kStopping) sink_.OnRunTakenAsOver(agent, report.id, "lost");
      OnRunEnded(*job, *task, true, now);
      break;
    case RunReport::Kind::kNotRun:
      task->avoided_agents.insert(agent);
      OnRunEnded(*job, *task, false, now);
      break;
    case RunReport::Kind::kNumberUsed:
      task->run_number += kRunNumberStep;
      OnRunEnded(*job, *task, false, now);
      break;
  }
  RemoveIfEnded(report.id.task.job, now);
}

void JobDispatcher::OnRunEnded(Job& job, Task& task, bool may_have_run, core::TimePoint now) {
  --runs_at_[task.agent];
  task.state = Task::State::kReady;
  task.may_have_run = task.may_have_run || may_have_run;
  if (job.finished) return;
  if (job.withdrawing && !HasRuns(job)) return GiveUp(job, job.give_up_reason, now);
  PlaceReady(job, now);
}

void JobDispatcher::OnDone(Job& job, Task& task, core::TimePoint now) {
  --runs_at_[task.agent];
  task.state = Task::State::kDone;
  job.withdrawing = false;
  if (job.finished) return;
  UnlockSteps(job);
  const bool complete =
      std::all_of(job.steps.begin(), job.steps.end(), [](const std::vector<Task>& tasks) {
        return std::all_of(tasks.begin(), tasks.end(),
                           [](const Task& it) { return it.state == Task::State::kDone; });
      });
  if (complete) return Finish(job, JobOutcome{JobOutcome::Kind::kCompleted, "completed", {}}, now);
  ExpediteRemaining(job);
  PlaceReady(job, now);
}

void JobDispatcher::ExpediteRemaining(Job& job) {
  if (!job.NearlyDone()) return;
  const auto is_queued = [](const Task& it) {
    return it.state == Task::State::kOrdered && !it.expedited;
  };
  ForEachTask(job, is_queued, [this](Task& task, const RunId& id) {
    task.expedited = true;
    sink_.SendExpedite(task.agent, id);
  });
}

void JobDispatcher::OnFailed(Job& job, Task& task, core::TimePoint now) {
  ++task.failures;
  task.avoided_agents.insert(task.agent);
  if (!job.finished && task.failures >= job.request.max_attempts) {
    --runs_at_[task.agent];
    task.state = Task::State::kReady;
    task.may_have_run = true;
    return Finish(job, JobOutcome{JobOutcome::Kind::kFailed, "attempts used", {}}, now);
  }
  job.withdrawing = false;
  OnRunEnded(job, task, true, now);
}

void JobDispatcher::MoveIfSlow(Job& job, std::uint32_t step, Task& task, const RunId& id,
                               core::Duration remaining, core::TimePoint now) {
  // Stopping takes 50 ms at most; the rest is the network round trip of the new
  // order.
  constexpr core::Duration kMoveTime = std::chrono::milliseconds(65);
  // Smallest remaining time for a move, in percent of the time elsewhere; with
  // less, runs would be moved only because their estimate is too low.
  constexpr int kMinRemainingPercent = 140;
  constexpr std::uint32_t kMaxMovesOfStartedTask = 2;
  if (remaining <= core::Duration::zero() || task.state != Task::State::kStarted) return;
  if (task.moves >= kMaxMovesOfStartedTask) return;
  const StepRequest& request = job.request.steps[step];
  const auto choice =
      fleet_.Choose(job.request.service, request, {task.agent}, UnusableFor(job, request));
  if (!choice || choice->agent == task.agent) return;
  const core::Duration time_elsewhere = kMoveTime + choice->start_delay + choice->run_time;
  if (remaining * 100 < time_elsewhere * kMinRemainingPercent) return;
  if (now + time_elsewhere > job.request.deadline) return;
  ++task.moves;
  task.avoided_agents.insert(task.agent);
  task.state = Task::State::kStopping;
  task.may_continue = false;
  sink_.SendStop(task.agent, id);
}

void JobDispatcher::OnAgentHello(const AgentHello& hello, core::TimePoint now) {
  fleet_.Get(hello.agent).OnConnected();
  for (const WorkerCrash& it : hello.crashes) RecordCrash(hello.agent, it, now);
  if (hello.description) OnWorkerDescription(hello.agent, *hello.description);
  if (hello.state) OnWorkerState(hello.agent, *hello.state, 0, now);
  // The reports below may place new runs at this agent, which its hello cannot
  // list.
  const std::vector<RunId> earlier_runs = RunsAt(hello.agent);
  std::set<RunId> listed;
  for (const RunReport& it : hello.runs) {
    Job* job = nullptr;
    const Task* task = FindRun(hello.agent, it.id, &job);
    if (task != nullptr) {
      const RunId id{it.id.task, it.id.number, job->submission};
      listed.insert(id);
      if (it.IsUnfinished()) {
        sink_.SendClaim(hello.agent, id, job->request.steps[id.task.step].need);
      }
    }
    OnReport(hello.agent, it, now);
    // The job was answered while the agent was unreachable; its run must be
    // stopped.
    if (it.IsUnfinished() && FindRun(hello.agent, it.id, &job) != nullptr && job->finished) {
      sink_.SendStop(hello.agent, it.id);
    }
  }
  // A run of an earlier process of the agent, also one before the last, may go on.
  if (!hello.runs_known) return;
  for (const RunId& it : earlier_runs) {
    Job* job = nullptr;
    Task* task = listed.contains(it) ? nullptr : FindRun(hello.agent, it, &job);
    if (task == nullptr) continue;
    sink_.OnRunTakenAsOver(hello.agent, it, "not listed");
    OnRunEnded(*job, *task, true, now);
    RemoveIfEnded(it.task.job, now);
  }
}

std::vector<RunId> JobDispatcher::RunsAt(const std::string& agent) const {
  std::vector<RunId> runs;
  for (const auto& [name, job] : jobs_) {
    const auto is_there = [&agent](const Task& it) { return it.HasRun() && it.agent == agent; };
    ForEachTask(*job, is_there, [&runs](const Task&, const RunId& id) { runs.push_back(id); });
  }
  return runs;
}

void JobDispatcher::OnAgentLost(const std::string& agent, core::TimePoint last_heard) {
  fleet_.Get(agent).set_connected(false);
  for (auto& [id, job] : jobs_) {
    for (std::vector<Task>& tasks : job->steps) {
      for (Task& it : tasks) {
        if (!it.HasRun() || it.agent != agent || it.state == Task::State::kUnreachable) continue;
        job->withdrawing = false;
        it.state = Task::State::kUnreachable;
        it.ended_by = last_heard + tuning_.silent_agent_timeout;
      }
    }
  }
}

void JobDispatcher::SetEvacuated(const std::set<std::string>& data_centres) {
  fleet_.SetEvacuated(data_centres);
}

void JobDispatcher::Advance(core::TimePoint now) {
  // Bounds the messages of one call; the next one follows within tens of
  // milliseconds.
  constexpr int kWithdrawalsPerCall = 8;
  withdrawals_left_ = kWithdrawalsPerCall;
  crash_history_.Forget(now);
  if (now >= assign_due_ && isolation_.active()) AssignIsolated(now);
  std::vector<std::string> ids;
  for (const auto& [id, job] : jobs_) {
    if (HasDueWork(*job, now)) ids.push_back(id);
  }
  for (const std::string& id : ids) {
    AdvanceJob(*jobs_.at(id), now);
    RemoveIfEnded(id, now);
  }
  if (tuning_.overload_policy == OverloadPolicy::kPriority) ShedWaitingJobs(now);
}

void JobDispatcher::ShedWaitingJobs(core::TimePoint now) {
  // Bounds the messages of one call like the withdrawals.
  constexpr std::size_t kJobsPerCall = 8;
  std::vector<WaitingJob> waiting;
  for (const auto& [id, job] : jobs_) {
    const JobRequest& request = job->request;
    if (job->finished || job->withdrawing || !shedding_.MayGiveUp(request.priority, now)) continue;
    if (job->MayHaveRun()) continue;
    waiting.push_back({id, request.priority, MinRunTime(CriticalPathTime(request.steps)),
                       request.objective, TotalWork(*job), false});
  }
  for (const std::string& it : shedding_.ChooseGivenUp(std::move(waiting), kJobsPerCall, now)) {
    GiveUp(*jobs_.at(it), "late beside more urgent work", now);
    RemoveIfEnded(it, now);
  }
}

// Whether AdvanceJob or RemoveIfEnded may have something to do. Most jobs only wait for reports.
bool JobDispatcher::HasDueWork(const Job& job, core::TimePoint now) {
  if (!job.finished && now >= job.request.deadline) return true;
  const auto is_due = [&job, now](const Task& it) {
    switch (it.state) {
      case Task::State::kReady:
        return !job.finished;
      case Task::State::kOrdered:
        return !job.finished && IsQueued(it, now);
      case Task::State::kUnreachable:
        return now >= it.ended_by;
      default:
        return false;
    }
  };
  return (job.finished && !HasRuns(job)) ||
         std::any_of(job.steps.begin(), job.steps.end(), [&is_due](const auto& tasks) {
           return std::any_of(tasks.begin(), tasks.end(), is_due);
         });
}

void JobDispatcher::AdvanceJob(Job& job, core::TimePoint now) {
  const auto is_over = [now](const Task& it) {
    return it.state == Task::State::kUnreachable && now >= it.ended_by;
  };
  ForEachTask(job, is_over, [this, &job, now](Task& task, const RunId& id) {
    sink_.OnRunTakenAsOver(task.agent, id, "agent silent");
    task.avoided_agents.insert(task.agent);
    OnRunEnded(job, task, true, now);
  });
  if (job.finished) return;
  if (now >= job.request.deadline) {
    const bool not_run = !job.MayHaveRun() && !HasRuns(job);
    if (not_run) return Refuse(job, "deadline", now);
    return Finish(job, JobOutcome{JobOutcome::Kind::kMayHaveRun, "deadline", {}}, now);
  }
  PlaceReady(job, now);
  if (!job.finished && !job.withdrawing) MoveQueuedRuns(job, now);
}

// Withdraws runs from an agent's queue while another backend server has free
// resources.
void JobDispatcher::MoveQueuedRuns(Job& job, core::TimePoint now) {
  constexpr std::uint32_t kMaxMovesOfQueuedTask = 4;
  for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
    for (std::uint32_t index = 0; index < job.steps[step].size(); ++index) {
      Task& task = job.steps[step][index];
      if (task.state != Task::State::kOrdered || !IsQueued(task, now)) continue;
      if (withdrawals_left_ == 0 || task.moves >= kMaxMovesOfQueuedTask) continue;
      const StepRequest& request = job.request.steps[step];
      const auto choice =
          fleet_.Choose(job.request.service, request, {task.agent}, UnusableFor(job, request));
      if (!choice || choice->agent == task.agent) continue;
      if (choice->start_delay > core::Duration::zero()) continue;
      if (fleet_.EndsSoonerAt(task.agent, request, *choice)) continue;
      --withdrawals_left_;
      ++task.moves;
      Withdraw(task, RunId{TaskId{job.request.id, step, index}, task.run_number, job.submission});
    }
  }
}

bool JobDispatcher::HasRunsAt(const std::string& agent) const {
  const auto it = runs_at_.find(agent);
  return it != runs_at_.end() && it->second > 0;
}

std::size_t JobDispatcher::CountWaiting(const std::string& route) const {
  return static_cast<std::size_t>(
      std::count_if(jobs_.begin(), jobs_.end(), [&route](const auto& it) {
        return it.second->request.route == route && !it.second->MayHaveRun();
      }));
}

void JobDispatcher::StopRuns(Job& job) {
  const auto goes_on = [](const Task& it) {
    const bool stopping = it.state == Task::State::kStopping && !it.may_continue;
    return it.HasRun() && it.state != Task::State::kUnreachable && !stopping;
  };
  ForEachTask(job, goes_on, [this](Task& task, const RunId& id) {
    task.state = Task::State::kStopping;
    task.may_continue = false;
    sink_.SendStop(task.agent, id);
  });
}

void JobDispatcher::Finish(Job& job, const JobOutcome& outcome, core::TimePoint now) {
  job.finished = true;
  job.withdrawing = false;
  StopRuns(job);
  const bool final =
      outcome.kind == JobOutcome::Kind::kCompleted || outcome.kind == JobOutcome::Kind::kFailed;
  if (final) {
    job.final_outcome = outcome;
    Remember({job.request.id, outcome, now});
  }
  sink_.Answer(job.request.id, outcome);
}

// A job of which nothing can have started is refused as not run once its
// orders are withdrawn; any other ends as one that may have run.
void JobDispatcher::GiveUp(Job& job, const std::string& reason, core::TimePoint now) {
  if (job.finished) return;
  job.give_up_reason = reason;
  if (job.MayHaveRun()) {
    return Finish(job, JobOutcome{JobOutcome::Kind::kMayHaveRun, reason, {}}, now);
  }
  if (!HasRuns(job)) return Refuse(job, reason, now);
  job.withdrawing = true;
  const auto is_ordered = [](const Task& it) { return it.state == Task::State::kOrdered; };
  ForEachTask(job, is_ordered, [this](Task& task, const RunId& id) { Withdraw(task, id); });
}

void JobDispatcher::Withdraw(Task& task, const RunId& id) {
  task.state = Task::State::kStopping;
  task.may_continue = true;
  sink_.SendWithdraw(task.agent, id);
}

// The caller is asked to retry once the backlog and the work of jobs refused
// before it are done.
void JobDispatcher::Refuse(Job& job, const std::string& reason, core::TimePoint now) {
  const std::string& service = job.request.service;
  const std::string& route = job.request.route;
  const auto unusable = UnusableFor(job, job.request.steps.front());
  RetrySchedule& schedule = retry_schedules_[isolation_.IsIsolated(route) ? route : ""];
  const core::Duration retry_after = schedule.ScheduleRetry(
      TotalWork(job), fleet_.Capacity(service, unusable), fleet_.Backlog(service, unusable), now);
  Finish(job, JobOutcome{JobOutcome::Kind::kNotRun, reason, retry_after, job.expected_wait}, now);
}

void JobDispatcher::RemoveIfEnded(const std::string& id, core::TimePoint now) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || !it->second->finished || HasRuns(*it->second)) return;
  const std::unique_ptr<Job> job = std::move(it->second);
  jobs_.erase(it);
  if (!job->resubmission || job->claim_lost) sink_.OnJobRemoved(id, job->final_outcome);
  if (!job->resubmission) return;
  if (job->claim_lost) return sink_.OnClaimNeeded(std::move(*job->resubmission), now);
  auto next = MakeJob(std::move(*job->resubmission));
  // A backend server refuses a run whose number it has had.
  for (std::size_t step = 0; step < std::min(next->steps.size(), job->steps.size()); ++step) {
    const std::size_t n = std::min(next->steps[step].size(), job->steps[step].size());
    for (std::size_t index = 0; index < n; ++index) {
      next->steps[step][index].run_number = job->steps[step][index].run_number;
    }
  }
  Begin(std::move(next), now);
}

const JobDispatcher::EndedJob* JobDispatcher::FindEnded(const std::string& job) const {
  if (!ended_ids_.contains(job)) return nullptr;
  const auto it = std::find_if(ended_.begin(), ended_.end(),
                               [&job](const EndedJob& ended) { return ended.job == job; });
  return it == ended_.end() ? nullptr : &*it;
}

void JobDispatcher::Remember(EndedJob ended) {
  ended_ids_.insert(ended.job);
  ended_.push_back(std::move(ended));
}

void JobDispatcher::ForgetOutcomes(core::TimePoint now) {
  for (; !ended_.empty() && now - ended_.front().time > kOutcomeRetention; ended_.pop_front()) {
    ended_ids_.erase(ended_ids_.find(ended_.front().job));
  }
}

}  // namespace coltsfoottide::direct
