#include <algorithm>
#include <utility>

#include "coltsfoottide/schema/limits.h"
#include "coordinator_state.h"

namespace coltsfoottide::core {
namespace {

// Tasks of one queue that are examined per event for direct starts, and again
// for reservations, in the order of the queue.
constexpr int kMaxExamined = 64;
// Tasks of one class and service that may hold reservations at the same time.
// Bounds the queues of the workers; more would not free a slot sooner.
constexpr std::size_t kMaxReservedTasks = 64;
// A task with reservations is started directly only on a worker whose load
// report is at most this old and shows a free slot; older reports were known
// when the task was reserved.
constexpr Duration kFreshReportAge = std::chrono::milliseconds(20);
// Nothing is placed for this long on a worker that refused a Start for a reason
// other than BUSY, BELOW_FLOOR, TOO_LARGE, EXPIRED or UNKNOWN_SESSION.
constexpr Duration kRefusalBlock = std::chrono::milliseconds(200);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
// A Resolve is sent for an unanswered start after this time or twice the high
// quantile of the run time, whichever is longer, and then at doubling
// intervals: its Start or Result may have been lost on a link on which other
// messages arrive.
constexpr Duration kMinResolveInterval = std::chrono::seconds(2);

}  // namespace

void Coordinator::State::PlaceReadyTasks(TimePoint now) {
  last_now = now;
  EndDueJobs(now);
  for (const std::string& service : ready.Services()) {
    PlaceFromQueue({service, api::URGENT}, now);
    PlaceFromQueue({service, api::BULK}, now);
  }
}

void Coordinator::State::PlaceFromQueue(const ReadyQueue::QueueKey& queue, TimePoint now) {
  if (!ready.Empty(queue)) {
    StartOnFreeSlots(queue, now);
    AddReservations(queue, now);
  }
}

void Coordinator::State::StartOnFreeSlots(const ReadyQueue::QueueKey& queue, TimePoint now) {
  std::optional<ReadyQueue::Item> item;
  for (int examined = 0;
       examined < kMaxExamined && loads.AnyFree(queue.service, queue.job_class, now); ++examined) {
    item = ready.Next(queue, item);
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

void Coordinator::State::AddReservations(const ReadyQueue::QueueKey& queue, TimePoint now) {
  std::optional<ReadyQueue::Item> item;
  for (int examined = 0; examined < kMaxExamined && ready.ReservedCount(queue) < kMaxReservedTasks;
       ++examined) {
    item = ready.NextUnreserved(queue, item);
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
  std::erase_if(eligible, [](const WorkerView& view) { return view.report_age > kFreshReportAge; });
  return placement->Place(eligible, options.data_centre, job.spec.job_class(), {}, now);
}

void Coordinator::State::SendStart(Job& job, std::uint32_t index, WorkerLink& link,
                                   std::uint64_t offer, TimePoint now) {
  JobTask& task = job.tasks[index];
  const api::TaskSpec& spec = job.spec.tasks(static_cast<int>(index));
  ready.Remove(job.QueueKey(), task.item);
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

  const Duration resolve_interval =
      std::max(kMinResolveInterval, 2 * EstimateOf(job.spec, spec).high);
  if (link.outstanding.empty()) {
    link.outstanding_since = now;
  }
  link.outstanding[task.item.key] = {link.session, link.last_sequence, now + resolve_interval,
                                     resolve_interval};
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
  ScheduleDeadlineCheck(job);
  outbox.Send(link.endpoint, std::move(envelope));
}

void Coordinator::State::MakeReady(Job& job, std::uint32_t index) {
  JobTask& task = job.tasks[index];
  task.state = JobTask::State::kWaiting;
  ready.Add(job.QueueKey(), task.item);
}

void Coordinator::State::Delay(Job& job, std::uint32_t index, Duration delay, TimePoint now) {
  JobTask& task = job.tasks[index];
  if (task.state == JobTask::State::kWaiting) {
    ready.Remove(job.QueueKey(), task.item);
  }
  task.state = JobTask::State::kDelayed;
  SetTimer(job, index, now + delay);
}

void Coordinator::State::Requeue(Job& job, std::uint32_t index, WorkerLink& link) {
  link.outstanding.erase(job.tasks[index].item.key);
  --job.outstanding;
  MakeReady(job, index);
  ScheduleDeadlineCheck(job);
}

void Coordinator::State::OnRefused(WorkerLink& link, std::uint64_t incarnation,
                                   const wire::Refused& refused, TimePoint now) {
  ++counters.other_messages;
  const bool same_incarnation = incarnation == link.incarnation;
  if (same_incarnation) {
    MarkResponsive(link, now);
    UpdateLoad(link, refused.load(), now);
  }
  const auto key = KeyOf(refused.task());
  const auto it = key ? link.outstanding.find(*key) : link.outstanding.end();
  if (it == link.outstanding.end() || it->second.link_sequence != refused.link_sequence()) {
    return;
  }
  const bool current_session = it->second.session == link.session;
  Job& job = *FindJob(key->sequence);
  Requeue(job, key->index, link);
  if (!same_incarnation || refused.refusal() == wire::UNKNOWN_SESSION) {
    if (current_session && link.hello_nonce == 0) {
      SendHello(link, now);
    }
    return;
  }
  HandleRefusal(job, key->index, link.endpoint, refused.refusal(), now);
}

void Coordinator::State::HandleRefusal(Job& job, std::uint32_t index, const std::string& worker,
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
      // The budget ran out on the way to the worker, so the deadline is about
      // to pass here as well.
      return Delay(job, index, kRetryDelay, now);
    default:
      loads.Block(worker, now + kRefusalBlock);
  }
}

// When the retry budget is used up, the task is delayed and tried again; the
// deadline of its job bounds this.
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
    // The job has ended, or this is a repeated Result.
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
  ScheduleDeadlineCheck(job);
  if (job.graph.done()) {
    CompleteJob(job, now);
  }
}

}  // namespace coltsfoottide::core
