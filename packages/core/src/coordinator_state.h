#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "answer_store.h"
#include "coltsfoottide/core/coordinator.h"
#include "coltsfoottide/core/outbox.h"
#include "coltsfoottide/core/placement.h"
#include "job.h"
#include "load_view.h"
#include "ready_queue.h"
#include "retry_budget.h"
#include "run_time_model.h"
#include "task_key.h"
#include "ticket_window.h"
#include "worker_link.h"

namespace coltsfoottide::core {

// Implementation of Coordinator. Event handlers change the state and queue
// ready tasks; PlaceReadyTasks() places them at the end of each event.
struct Coordinator::State {
  State(CoordinatorOptions options, std::unique_ptr<Placement> placement, Outbox& outbox,
        std::uint64_t seed);

  // --- coordinator.cc ---
  void Dispatch(const wire::Envelope& envelope, TimePoint now);
  void DispatchWorker(const wire::Envelope& envelope, TimePoint now);
  void Tick(TimePoint now);
  TimePoint NextWake() const;

  // --- coordinator_jobs.cc: calls of entries ---
  void OnTicketRequest(const std::string& from, const wire::TicketRequest& request, TimePoint now);
  void OnSubmit(const std::string& from, const wire::SubmitJob& submit, TimePoint now);
  void OnWait(const std::string& from, const wire::WaitJob& wait);
  void OnCancel(const std::string& from, const wire::CancelJob& cancel, TimePoint now);
  void OnStatus(const std::string& from, const wire::StatusJob& status);
  void OnAnswerAck(const wire::AnswerAck& ack);
  void OnListJobs(const std::string& from, const wire::ListJobs& list, TimePoint now);
  // Returns whether this incarnation issued the ticket; if not, replies with an
  // error.
  bool CheckOwnTicket(const CallerId& caller, const api::Ticket& ticket);
  // Replies for a ticket that has no running job.
  void ReplyEnded(const CallerId& caller, const api::Ticket& ticket);
  // Replies for a ticket that has neither a running job nor a stored answer.
  void ReplyWithoutJob(const CallerId& caller, const api::Ticket& ticket);
  // Registers the caller for the answer, or replies with the running state at
  // once if it does not wait or too many callers do.
  void AttachToJob(const CallerId& caller, Job& job, bool wait);
  void ReplyReused(const CallerId& caller, const api::Ticket& ticket, api::Verdict verdict);
  void Reply(const CallerId& caller, api::JobAnswer answer);
  void ReplyError(const CallerId& caller, const api::Ticket& ticket, api::Error error);
  // Refuses the ticket permanently and replies with the error.
  void RefuseTicket(const CallerId& caller, const api::Ticket& ticket, api::Error error);

  // --- coordinator_admission.cc: admission control ---
  // Returns why the job cannot be accepted, or nothing.
  std::optional<api::Error> CheckAdmission(const api::JobSpec& spec, TimePoint deadline,
                                           TimePoint now) const;
  Job& Accept(const wire::SubmitJob& submit, std::uint64_t body_hash, TimePoint deadline,
              TimePoint now);
  // Returns the job's critical path with the low quantiles of the run times.
  Duration LowCriticalPath(const api::JobSpec& spec) const;
  RunTimeModel::Estimate EstimateOf(const api::JobSpec& spec, const api::TaskSpec& task) const;

  // --- coordinator_job_end.cc: how jobs end ---
  void CompleteJob(Job& job, TimePoint now);
  void FailJob(Job& job, api::Verdict verdict, api::Reason reason, const std::string& message,
               TimePoint now);
  void EndJob(Job& job, api::JobAnswer answer, TimePoint now);
  // Removes the tasks of a job that ends from the queues and links.
  void ReleaseTasks(Job& job, TimePoint now);
  // Sets the job's next deadline check.
  void ScheduleDeadlineCheck(Job& job);
  void EndDueJobs(TimePoint now);
  void ExpireAnswers(TimePoint now);
  Duration AnswerTimeout() const;

  // --- coordinator_starts.cc: placement, starts and results ---
  void PlaceReadyTasks(TimePoint now);
  void PlaceFromQueue(const ReadyQueue::QueueKey& queue, TimePoint now);
  // Starts waiting tasks while a worker is estimated to have a free slot.
  void StartOnFreeSlots(const ReadyQueue::QueueKey& queue, TimePoint now);
  // Makes reservations for waiting tasks that have none.
  void AddReservations(const ReadyQueue::QueueKey& queue, TimePoint now);
  PlacementDecision Place(const Job& job, const JobTask& task, TimePoint now);
  void SendStart(Job& job, std::uint32_t index, WorkerLink& link, std::uint64_t offer,
                 TimePoint now);
  void MakeReady(Job& job, std::uint32_t index);
  void Delay(Job& job, std::uint32_t index, Duration delay, TimePoint now);
  // Puts a task back into the ready queue when its Start is known neither to
  // have run nor to run later.
  void Requeue(Job& job, std::uint32_t index, WorkerLink& link);
  void OnRefused(WorkerLink& link, std::uint64_t incarnation, const wire::Refused& refused,
                 TimePoint now);
  void HandleRefusal(Job& job, std::uint32_t index, const std::string& worker,
                     wire::StartRefusal refusal, TimePoint now);
  void RetryWithinBudget(Job& job, std::uint32_t index, TimePoint now);
  void OnResult(WorkerLink& link, const wire::Result& result, TimePoint now);
  void OnTaskDone(Job& job, std::uint32_t index, const wire::Result& result, TimePoint now);

  // --- coordinator_reservations.cc ---
  void SendReserves(Job& job, std::uint32_t index, const std::vector<std::string>& workers,
                    TimePoint now);
  void OnReserveRefused(WorkerLink& link, const wire::ReserveRefused& refused, TimePoint now);
  void OnOffer(WorkerLink& link, const wire::Offer& offer, TimePoint now);
  void RemoveReservation(std::uint64_t reservation, bool notify_worker, TimePoint now);
  void DropReservations(JobTask& task, TimePoint now);
  // Drops reservations that the worker may have lost.
  void CheckReservations(Job& job, std::uint32_t index, TimePoint now);
  void DropWorkerReservations(WorkerLink& link, bool notify_worker, TimePoint now);
  void SetTimer(Job& job, std::uint32_t index, TimePoint at);
  void RunTimers(TimePoint now);

  // --- coordinator_links.cc: sessions, candidates, batched messages ---
  void SetCandidates(const std::vector<api::WorkerInfo>& candidates, TimePoint now);
  void AddCandidate(const api::WorkerInfo& info, TimePoint now);
  void DropCandidate(WorkerLink& link, TimePoint now);
  void SendHello(WorkerLink& link, TimePoint now);
  void OnHelloAck(WorkerLink& link, std::uint64_t incarnation, const wire::HelloAck& ack,
                  TimePoint now);
  void UpdateLoad(WorkerLink& link, const wire::Load& load, TimePoint now);
  void OnLoadUpdate(WorkerLink& link, const wire::LoadUpdate& update, TimePoint now);
  void CloseSession(WorkerLink& link, TimePoint now);
  void OnLinkDown(const std::string& endpoint, TimePoint now);
  void MarkSilent(WorkerLink& link, TimePoint now);
  void MarkResponsive(WorkerLink& link, TimePoint now);
  void UpdateReachable(const WorkerLink& link);
  void AddAck(WorkerLink& link, const wire::Result& result, TimePoint now);
  void AddUnreserve(WorkerLink& link, std::uint64_t reservation, TimePoint now);
  void FlushAcks(WorkerLink& link);
  void FlushUnreserves(WorkerLink& link);
  void SendToWorker(const std::string& endpoint, wire::Envelope envelope);

  // --- coordinator_resolution.cc: silent links and lost starts ---
  void TickLink(WorkerLink& link, TimePoint now);
  TimePoint LinkWake(const WorkerLink& link) const;
  TimePoint SilenceCheckAt(const WorkerLink& link) const;
  void RetryHello(WorkerLink& link, TimePoint now);
  void CheckSilence(WorkerLink& link, TimePoint now);
  void ResolveAll(WorkerLink& link, bool reset, TimePoint now);
  void ResolveOverdue(WorkerLink& link, TimePoint now);
  void SendResolves(WorkerLink& link, const std::vector<TaskKey>& tasks, TimePoint now);
  void OnResolved(WorkerLink& link, std::uint64_t incarnation, const wire::Resolved& resolved,
                  TimePoint now);
  void ApplyStanding(WorkerLink& link, const wire::Resolved::Item& item,
                     const WorkerLink::PendingResolve& pending, std::uint64_t session);
  // Fails the jobs of outstanding starts whose outcome cannot be determined. A
  // session other than 0 limits this to the starts under it.
  void FailOutstanding(WorkerLink& link, std::uint64_t session, const std::string& why,
                       TimePoint now);

  // --- coordinator_leave.cc ---
  void BeginLeave(TimePoint now);
  // Moves an unused ticket to a successor and replies with the new one, now or
  // when the successor answers.
  void MoveTicket(const CallerId& caller, const api::Ticket& ticket, TimePoint now);
  void FetchSuccessorTickets(TimePoint now);
  void OnTicketReply(const std::string& from, const wire::TicketReply& reply, TimePoint now);
  void CheckSuccessor(TimePoint now);
  void ServePendingMoves();
  void RefusePendingMoves();

  // --- shared ---
  Job* FindJob(std::uint64_t sequence);
  WorkerLink* FindLink(const std::string& endpoint);
  wire::TaskId MakeTaskId(TaskKey key) const;
  // Returns the key of a task of this incarnation, or nothing.
  std::optional<TaskKey> KeyOf(const wire::TaskId& id) const;
  std::uint64_t NewNonce();

  struct Reservation {
    TaskKey task;
    std::string worker;
    TimePoint created;
  };
  struct PendingMove {
    CallerId caller;
    api::Ticket ticket;
  };

  CoordinatorOptions options;
  std::unique_ptr<Placement> placement;
  Outbox& outbox;
  std::mt19937_64 random;
  CoordinatorCounters counters;

  TicketWindow tickets;
  AnswerStore answers;
  std::unordered_map<std::uint64_t, std::unique_ptr<Job>> jobs;
  // Payload and output bytes of the running jobs.
  std::size_t job_bytes = 0;
  // Running jobs by the time of their next deadline check.
  std::set<std::pair<TimePoint, std::uint64_t>> deadline_checks;
  // Task timers; one that differs from JobTask::timer is obsolete.
  std::multimap<TimePoint, TaskKey> timers;

  RunTimeModel run_times;
  RetryBudget retry_budget;
  LoadView loads;
  ReadyQueue ready;
  std::map<std::string, WorkerLink> links;
  std::unordered_map<std::uint64_t, Reservation> reservations;
  std::uint64_t next_reservation = 1;

  // Set by BeginLeave; from then on, an unused ticket is moved to a successor
  // when it is submitted.
  bool leaving = false;
  std::vector<std::string> successors;
  std::uint64_t successor_request = 0;
  std::string successor;
  // When the pending request to the successor times out.
  TimePoint successor_due = TimePoint::max();
  int successor_tries = 0;
  std::deque<api::Ticket> successor_tickets;
  std::deque<PendingMove> pending_moves;
  // Time of the last event.
  TimePoint last_now{};
};

}  // namespace coltsfoottide::core
