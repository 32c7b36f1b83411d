#include <algorithm>
#include <utility>

#include "coordinator_state.h"

namespace coltsfoottide::core {
namespace {

// Delay before new reservations are made for a task whose reservations were
// all refused.
constexpr Duration kReserveRetryDelay = std::chrono::milliseconds(20);
// Interval at which a task's reservations are checked. Those at workers that
// have sent no message for this long are replaced: the worker may have lost
// them.
constexpr Duration kReservationCheckInterval = std::chrono::seconds(1);
// Maximum age of a reservation: a Reserve may also be lost on a link on which
// other messages arrive.
constexpr Duration kMaxReservationAge = std::chrono::seconds(10);
// Nothing is placed for this long on a worker that refused a Reserve because
// its queue was full, or for another reason.
constexpr Duration kFullQueueBlock = std::chrono::milliseconds(50);
constexpr Duration kRefusalBlock = std::chrono::milliseconds(200);

}  // namespace

void Coordinator::State::SendReserves(Job& job, std::uint32_t index,
                                      const std::vector<std::string>& workers, TimePoint now) {
  JobTask& task = job.tasks[index];
  for (const std::string& worker : workers) {
    WorkerLink* link = FindLink(worker);
    if (link == nullptr) {
      continue;
    }
    const std::uint64_t id = next_reservation++;
    wire::Envelope envelope;
    wire::Reserve* reserve = envelope.mutable_reserve();
    reserve->set_session(link->session);
    reserve->set_reservation(id);
    *reserve->mutable_task() = MakeTaskId(task.item.key);
    reserve->set_job_class(job.spec.job_class());
    reserve->set_budget_us(static_cast<std::uint64_t>((job.deadline - now).count()));
    *reserve->mutable_needs() = job.spec.tasks(static_cast<int>(index)).needs();
    reservations[id] = {task.item.key, worker, now};
    link->reservations.insert(id);
    task.reservations.push_back(id);
    SendToWorker(worker, std::move(envelope));
  }
  if (!task.reservations.empty()) {
    ready.SetReserved(job.QueueKey(), task.item, true);
    SetTimer(job, index, now + kReservationCheckInterval);
  }
}

// A task without any remaining reservation becomes unreserved in the ready
// queue.
void Coordinator::State::RemoveReservation(std::uint64_t reservation, bool notify_worker,
                                           TimePoint now) {
  const auto it = reservations.find(reservation);
  if (it == reservations.end()) {
    return;
  }
  const TaskKey key = it->second.task;
  if (WorkerLink* link = FindLink(it->second.worker)) {
    link->reservations.erase(reservation);
    if (notify_worker) {
      AddUnreserve(*link, reservation, now);
    }
  }
  reservations.erase(it);
  Job* job = FindJob(key.sequence);
  if (job == nullptr) {
    return;
  }
  JobTask& task = job->tasks[key.index];
  std::erase(task.reservations, reservation);
  if (task.reservations.empty()) {
    ready.SetReserved(job->QueueKey(), task.item, false);
  }
}

void Coordinator::State::DropReservations(JobTask& task, TimePoint now) {
  const std::vector<std::uint64_t> dropped = task.reservations;
  for (const std::uint64_t reservation : dropped) {
    RemoveReservation(reservation, true, now);
  }
}

void Coordinator::State::DropWorkerReservations(WorkerLink& link, bool notify_worker,
                                                TimePoint now) {
  const std::set<std::uint64_t> dropped = link.reservations;
  for (const std::uint64_t reservation : dropped) {
    RemoveReservation(reservation, notify_worker, now);
  }
}

void Coordinator::State::OnReserveRefused(WorkerLink& link, const wire::ReserveRefused& refused,
                                          TimePoint now) {
  ++counters.other_messages;
  auto it = reservations.find(refused.reservation());
  if (refused.refusal() == wire::UNKNOWN_SESSION) {
    if (it != reservations.end() && link.hello_nonce == 0) {
      SendHello(link, now);
    }
    return;
  }
  UpdateLoad(link, refused.load(), now);
  it = reservations.find(refused.reservation());
  loads.Block(link.endpoint,
              now + (refused.refusal() == wire::BUSY ? kFullQueueBlock : kRefusalBlock));
  if (it == reservations.end()) {
    return;
  }
  const TaskKey key = it->second.task;
  RemoveReservation(refused.reservation(), false, now);
  Job& job = *FindJob(key.sequence);
  const JobTask& task = job.tasks[key.index];
  if (task.reservations.empty() && task.state == JobTask::State::kWaiting) {
    Delay(job, key.index, kReserveRetryDelay, now);
  }
}

void Coordinator::State::OnOffer(WorkerLink& link, const wire::Offer& offer, TimePoint now) {
  ++counters.other_messages;
  loads.Update(link.endpoint, offer.load(), now);
  const auto it = reservations.find(offer.reservation());
  if (it != reservations.end() && it->second.worker == link.endpoint && link.session != 0) {
    const TaskKey key = it->second.task;
    Job& job = *FindJob(key.sequence);
    RemoveReservation(offer.reservation(), false, now);
    return SendStart(job, key.index, link, offer.offer(), now);
  }
  wire::Envelope envelope;
  envelope.mutable_decline()->set_session(link.session);
  envelope.mutable_decline()->set_offer(offer.offer());
  SendToWorker(link.endpoint, std::move(envelope));
}

void Coordinator::State::SetTimer(Job& job, std::uint32_t index, TimePoint at) {
  job.tasks[index].timer = at;
  timers.emplace(at, job.tasks[index].item.key);
}

void Coordinator::State::RunTimers(TimePoint now) {
  while (!timers.empty() && timers.begin()->first <= now) {
    const auto [at, key] = *timers.begin();
    timers.erase(timers.begin());
    Job* job = FindJob(key.sequence);
    if (job == nullptr || job->tasks[key.index].timer != at) {
      continue;
    }
    if (job->tasks[key.index].state == JobTask::State::kDelayed) {
      MakeReady(*job, key.index);
      if (job->tasks[key.index].needs_retry) {
        RetryWithinBudget(*job, key.index, now);
      }
    } else if (job->tasks[key.index].state == JobTask::State::kWaiting) {
      CheckReservations(*job, key.index, now);
    }
  }
}

void Coordinator::State::CheckReservations(Job& job, std::uint32_t index, TimePoint now) {
  JobTask& task = job.tasks[index];
  const std::vector<std::uint64_t> held = task.reservations;
  for (const std::uint64_t id : held) {
    const Reservation& reservation = reservations[id];
    const WorkerLink* link = FindLink(reservation.worker);
    if (link == nullptr || link->last_received + kReservationCheckInterval <= now ||
        loads.QueueIsEmpty(reservation.worker) || reservation.created + kMaxReservationAge <= now) {
      RemoveReservation(id, true, now);
    }
  }
  if (!task.reservations.empty()) {
    SetTimer(job, index, now + kReservationCheckInterval);
  }
}

}  // namespace coltsfoottide::core
