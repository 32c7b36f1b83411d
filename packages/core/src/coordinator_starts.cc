#include <algorithm>
#include <utility>

#include "coltsfoottide/schema/limits.h"
#include "coordinator_state.h"

namespace coltsfoottide::core {
namespace {

// Waiting tasks looked at in one event; the others are behind them in order.
constexpr int kMaxExamined = 64;
// Tasks of one class and service that hold reservations at a time. Bounds the
// queues of the workers; more would not make a slot free sooner.
constexpr std::size_t kMaxReservedTasks = 64;
// A task with reservations is started directly only where a slot was free this
// short a time ago; older word is what made it wait.
constexpr Duration kFreshWord = std::chrono::milliseconds(20);
// A worker that refused for another reason than BUSY gets nothing for this
// long.
constexpr Duration kRefusalBlock = std::chrono::milliseconds(200);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
// An unanswered start is asked about after this time or twice the run time
// that few tasks exceed, whichever is longer, and then at doubling intervals:
// its Start or Result may have been lost on a link that is otherwise alive.
constexpr Duration kMinAskAfter = std::chrono::seconds(2);

}  // namespace

void Coordinator::State::Pump(TimePoint now) {
  last_now = now;
  EndDueJobs(now);
  for (const std::string& service : ready.Services()) {
    PumpLane({service, api::URGENT}, now);
    PumpLane({service, api::BULK}, now);
  }
}

void Coordinator::State::PumpLane(const ReadyQueue::Lane& lane, TimePoint now) {
  if (!ready.Empty(lane)) {
    StartFree(lane, now);
    ReserveMore(lane, now);
  }
}

void Coordinator::State::StartFree(const ReadyQueue::Lane& lane, TimePoint now) {
  std::optional<ReadyQueue::Item> item;
  for (int examined = 0;
       examined < kMaxExamined && loads.AnyFree(lane.service, lane.job_class, now); ++examined) {
    item = ready.Next(lane, item);
    if (!item) {
      return;
    }
    Job& job = *FindJob(item->key.sequence);
    const PlacementDecision decision = Place(job, job.tasks[item->key.index], now);
    if (WorkerLink* link = FindLink(decision.start)) {
      SendStart(job, item->key.index, *link, 0, now);
    }
  }
}

void Coordinator::State::ReserveMore(const ReadyQueue::Lane& lane, TimePoint now) {
  std::optional<ReadyQueue::Item> item;
  for (int examined = 0; examined < kMaxExamined && ready.ReservedCount(lane) < kMaxReservedTasks;
       ++examined) {
    item = ready.NextUnreserved(lane, item);
    if (!item) {
      return;
    }
    Job& job = *FindJob(item->key.sequence);
    const PlacementDecision decision = Place(job, job.tasks[item->key.index], now);
    if (WorkerLink* link = FindLink(decision.start)) {
      SendStart(job, item->key.index, *link, 0, now);
    } else if (!decision.reserve.empty()) {
      SendReserves(job, item->key.index, decision.reserve, now);
    }
  }
}

PlacementDecision Coordinator::State::Place(const Job& job, const JobTask& task, TimePoint now) {
  const api::TaskSpec& spec = job.spec.tasks(static_cast<int>(task.item.key.index));
  std::vector<WorkerView> eligible = loads.Eligible(job.spec.service(), spec.needs(), now);
  if (task.reservations.empty()) {
    return placement->Place(eligible, options.data_centre, job.spec.job_class(), task.tried, now);
  }
  std::erase_if(eligible, [](const WorkerView& view) { return view.age > kFreshWord; });
  return placement->Place(eligible, options.data_centre, job.spec.job_class(), {}, now);
}

void Coordinator::State::SendStart(Job& job, std::uint32_t index, WorkerLink& link,
                                   std::uint64_t offer, TimePoint now) {
  JobTask& task = job.tasks[index];
  const api::TaskSpec& spec = job.spec.tasks(static_cast<int>(index));
  ready.Remove(job.Lane(), task.item);
  DropReservations(task, now);
  wire::Envelope envelope;
  wire::Start* start = envelope.mutable_start();
  start->set_session(link.session);
  start->set_link_sequence(++link.last_sequence);
  *start->mutable_task() = MakeTaskId(task.item.key);
  start->set_kind(spec.kind());
  start->set_payload(spec.payload());
  start->set_job_class(job.spec.job_class());
  start->set_idempotent(job.spec.idempotent());
  start->set_budget_us(static_cast<std::uint64_t>((job.deadline - now).count()));
  start->set_offer(offer);
  *start->mutable_needs() = spec.needs();
  start->set_team(job.spec.team());
  start->set_job(std::to_string(job.ticket.sequence()));

  const Duration ask_after = std::max(kMinAskAfter, 2 * EstimateOf(job.spec, spec).high);
  if (link.outstanding.empty()) {
    link.outstanding_since = now;
  }
  link.outstanding[task.item.key] = {link.session, link.last_sequence, now + ask_after, ask_after};
  if (offer == 0) {
    loads.OnStart(link.endpoint, now);
  }
  task.state = JobTask::State::kStarted;
  task.worker = link.endpoint;
  counters.other_messages += task.starts > 0 ? 1 : 0;
  ++task.starts;
  ++job.starts;
  ++job.outstanding;
  ++counters.starts;
  retry_budget.OnStart(now);
  Rearm(job);
  outbox.Send(link.endpoint, std::move(envelope));
}

void Coordinator::State::MakeReady(Job& job, std::uint32_t index) {
  JobTask& task = job.tasks[index];
  task.state = JobTask::State::kWaiting;
  ready.Add(job.Lane(), task.item);
}

void Coordinator::State::Delay(Job& job, std::uint32_t index, Duration delay, TimePoint now) {
  JobTask& task = job.tasks[index];
  if (task.state == JobTask::State::kWaiting) {
    ready.Remove(job.Lane(), task.item);
  }
  task.state = JobTask::State::kDelayed;
  SetTimer(job, index, now + delay);
}

void Coordinator::State::TakeBack(Job& job, std::uint32_t index, WorkerLink& link) {
  link.outstanding.erase(job.tasks[index].item.key);
  --job.outstanding;
  MakeReady(job, index);
  Rearm(job);
}

void Coordinator::State::OnRefused(WorkerLink& link, std::uint64_t incarnation,
                                   const wire::Refused& refused, TimePoint now) {
  ++counters.other_messages;
  const bool same_incarnation = incarnation == link.incarnation;
  if (same_incarnation) {
    OnHeard(link, now);
    UpdateLoad(link, refused.load(), now);
  }
  const auto key = KeyOf(refused.task());
  const auto it = key ? link.outstanding.find(*key) : link.outstanding.end();
  if (it == link.outstanding.end() || it->second.link_sequence != refused.link_sequence()) {
    return;
  }
  const bool current_session = it->second.session == link.session;
  Job& job = *FindJob(key->sequence);
  TakeBack(job, key->index, link);
  if (!same_incarnation || refused.refusal() == wire::UNKNOWN_SESSION) {
    if (current_session && link.hello_nonce == 0) {
      SendHello(link, now);
    }
    return;
  }
  PlaceRefusedAgain(job, key->index, link.endpoint, refused.refusal(), now);
}

void Coordinator::State::PlaceRefusedAgain(Job& job, std::uint32_t index, const std::string& worker,
                                           wire::StartRefusal refusal, TimePoint now) {
  std::vector<std::string>& tried = job.tasks[index].tried;
  switch (refusal) {
    case wire::BUSY:
      if (std::find(tried.begin(), tried.end(), worker) == tried.end()) {
        tried.push_back(worker);
      }
      return;
    case wire::BELOW_FLOOR:
      return;
    case wire::TOO_LARGE:
      return FailJob(job, job.Verdict(), api::IMPOSSIBLE_NEEDS,
                     "a worker refused a task as too large", now);
    case wire::BACKEND_REFUSED:
      loads.Block(worker, now + kRefusalBlock);
      job.tasks[index].needs_retry = true;
      return RetryWithinBudget(job, index, now);
    case wire::EXPIRED:
      // The worker counts the time on the way too; the deadline is about to
      // pass here.
      return Delay(job, index, kRetryDelay, now);
    default:
      loads.Block(worker, now + kRefusalBlock);
  }
}

// A task beyond the budget waits; its job ends at the deadline at the latest.
void Coordinator::State::RetryWithinBudget(Job& job, std::uint32_t index, TimePoint now) {
  if (retry_budget.TryRetry(now)) {
    job.tasks[index].needs_retry = false;
  } else {
    Delay(job, index, kRetryDelay, now);
  }
}

void Coordinator::State::OnResult(WorkerLink& link, const wire::Result& result, TimePoint now) {
  ++counters.results;
  AddAck(link, result, now);
  UpdateLoad(link, result.load(), now);
  const auto key = KeyOf(result.task());
  if (!key || link.outstanding.erase(*key) == 0) {
    // Of a job that has ended, or sent again.
    ++counters.other_messages;
    return;
  }
  Job& job = *FindJob(key->sequence);
  --job.outstanding;
  OnTaskDone(job, key->index, result, now);
}

void Coordinator::State::OnTaskDone(Job& job, std::uint32_t index, const wire::Result& result,
                                    TimePoint now) {
  JobTask& task = job.tasks[index];
  task.state = JobTask::State::kDone;
  ++job.done;
  if (result.outcome() == wire::DONE || result.outcome() == wire::TASK_ERROR) {
    job.has_run = true;
  }
  if (result.outcome() != wire::DONE) {
    const api::Verdict verdict = job.has_run ? api::RAN : api::MAY_HAVE_RUN;
    return FailJob(job, verdict, api::TASK_FAILED,
                   "task " + std::to_string(index) + ": " + result.error(), now);
  }
  if (result.output().size() > schema::kMaxTaskResultBytes) {
    return FailJob(job, api::RAN, api::TASK_FAILED,
                   "the result of task " + std::to_string(index) + " is larger than 64 KB", now);
  }
  const api::JobSpec& spec = job.spec;
  run_times.Add(spec.service(), spec.tasks(static_cast<int>(index)).kind(),
                std::chrono::microseconds(result.run_us()));
  task.output = result.output();
  job.output_bytes += task.output.size();
  job_bytes += task.output.size();
  for (const std::uint32_t next : job.graph.Finish(index)) {
    MakeReady(job, next);
  }
  Rearm(job);
  if (job.graph.done()) {
    CompleteJob(job, now);
  }
}

}  // namespace coltsfoottide::core
