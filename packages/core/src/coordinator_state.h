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

// The parts of a coordinator. Handlers of events change the state and queue
// ready tasks; Pump() places them at the end of each event.
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
  // Returns true when the ticket is of this incarnation; else replies.
  bool CheckOwnTicket(const Waiter& caller, const api::Ticket& ticket);
  // Replies for a ticket that has no running job.
  void ReplyEnded(const Waiter& caller, const api::Ticket& ticket);
  // Replies for a ticket that has no job, running or ended.
  void ReplyWithoutJob(const Waiter& caller, const api::Ticket& ticket);
  void AttachToJob(const Waiter& caller, Job& job, bool wait);
  void ReplyReused(const Waiter& caller, const api::Ticket& ticket, api::Verdict verdict);
  void Reply(const Waiter& caller, api::JobAnswer answer);
  void ReplyError(const Waiter& caller, const api::Ticket& ticket, api::Error error);
  // Refuses the ticket for good and replies.
  void RefuseTicket(const Waiter& caller, const api::Ticket& ticket, api::Error error);

  // --- coordinator_admission.cc: from a submission to a job ---
  // Why the job cannot be accepted, or nothing.
  std::optional<api::Error> CheckAdmission(const api::JobSpec& spec, TimePoint deadline,
                                           TimePoint now) const;
  Job& Accept(const wire::SubmitJob& submit, std::uint64_t body_hash, TimePoint deadline,
              TimePoint now);
  Duration LowCriticalPath(const api::JobSpec& spec) const;
  RunTimeModel::Estimate EstimateOf(const api::JobSpec& spec, const api::TaskSpec& task) const;

  // --- coordinator_ending.cc: how jobs end ---
  void CompleteJob(Job& job, TimePoint now);
  void FailJob(Job& job, api::Verdict verdict, api::Reason reason, const std::string& message,
               TimePoint now);
  void EndJob(Job& job, api::JobAnswer answer, TimePoint now);
  void ReleaseTasks(Job& job, TimePoint now);
  void Rearm(Job& job);
  void EndDueJobs(TimePoint now);
  void ExpireAnswers(TimePoint now);
  Duration AnswerTimeout() const;

  // --- coordinator_starts.cc: placing, starting and results ---
  void Pump(TimePoint now);
  void PumpLane(const ReadyQueue::Lane& lane, TimePoint now);
  void StartFree(const ReadyQueue::Lane& lane, TimePoint now);
  void ReserveMore(const ReadyQueue::Lane& lane, TimePoint now);
  PlacementDecision Place(const Job& job, const JobTask& task, TimePoint now);
  void SendStart(Job& job, std::uint32_t index, WorkerLink& link, std::uint64_t offer,
                 TimePoint now);
  void MakeReady(Job& job, std::uint32_t index);
  void Delay(Job& job, std::uint32_t index, Duration delay, TimePoint now);
  // The Start of the task is known not to run; the task is placed again.
  void TakeBack(Job& job, std::uint32_t index, WorkerLink& link);
  void OnRefused(WorkerLink& link, std::uint64_t incarnation, const wire::Refused& refused,
                 TimePoint now);
  void PlaceRefusedAgain(Job& job, std::uint32_t index, const std::string& worker,
                         wire::StartRefusal refusal, TimePoint now);
  void RetryWithinBudget(Job& job, std::uint32_t index, TimePoint now);
  void OnResult(WorkerLink& link, const wire::Result& result, TimePoint now);
  void OnTaskDone(Job& job, std::uint32_t index, const wire::Result& result, TimePoint now);

  // --- coordinator_reservations.cc ---
  void SendReserves(Job& job, std::uint32_t index, const std::vector<std::string>& workers,
                    TimePoint now);
  void OnReserveRefused(WorkerLink& link, const wire::ReserveRefused& refused, TimePoint now);
  void OnOffer(WorkerLink& link, const wire::Offer& offer, TimePoint now);
  void ForgetReservation(std::uint64_t reservation, bool tell_worker, TimePoint now);
  void DropReservations(JobTask& task, TimePoint now);
  void CheckReservations(Job& job, std::uint32_t index, TimePoint now);
  void DropWorkerReservations(WorkerLink& link, bool tell_worker, TimePoint now);
  void SetTimer(Job& job, std::uint32_t index, TimePoint at);
  void RunTimers(TimePoint now);

  // --- coordinator_links.cc: sessions, candidates, batches ---
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
  void OnHeard(WorkerLink& link, TimePoint now);
  void UpdateOpen(const WorkerLink& link);
  void AddAck(WorkerLink& link, const wire::Result& result, TimePoint now);
  void AddUnreserve(WorkerLink& link, std::uint64_t reservation, TimePoint now);
  void FlushAcks(WorkerLink& link);
  void FlushUnreserves(WorkerLink& link);
  void SendToWorker(const std::string& endpoint, wire::Envelope envelope);

  // --- coordinator_resolution.cc: silent links and lost starts ---
  void TickLink(WorkerLink& link, TimePoint now);
  TimePoint LinkWake(const WorkerLink& link) const;
  TimePoint SilenceCheckAt(const WorkerLink& link) const;
  void SayHelloAgain(WorkerLink& link, TimePoint now);
  void CheckSilence(WorkerLink& link, TimePoint now);
  void ResolveAll(WorkerLink& link, bool reset, TimePoint now);
  void ResolveOverdue(WorkerLink& link, TimePoint now);
  void SendResolves(WorkerLink& link, const std::vector<TaskKey>& tasks, TimePoint now);
  void OnResolved(WorkerLink& link, std::uint64_t incarnation, const wire::Resolved& resolved,
                  TimePoint now);
  void ApplyStanding(WorkerLink& link, const wire::Resolved::Item& item,
                     const WorkerLink::Question& question, std::uint64_t session);
  // The outcome of the outstanding starts cannot be found out: their jobs
  // fail. With a session, only the starts under it.
  void LoseOutstanding(WorkerLink& link, std::uint64_t session, const std::string& why,
                       TimePoint now);

  // --- coordinator_leave.cc ---
  void BeginLeave(TimePoint now);
  void MoveTicket(const Waiter& caller, const api::Ticket& ticket, TimePoint now);
  void FetchSuccessorTickets(TimePoint now);
  void OnTicketReply(const std::string& from, const wire::TicketReply& reply, TimePoint now);
  void CheckSuccessor(TimePoint now);
  void ServePendingMoves();
  void RefusePendingMoves();

  // --- shared ---
  Job* FindJob(std::uint64_t sequence);
  WorkerLink* FindLink(const std::string& endpoint);
  wire::TaskId MakeTaskId(TaskKey key) const;
  // The task that an identity names, if it is of this incarnation.
  std::optional<TaskKey> KeyOf(const wire::TaskId& id) const;
  std::uint64_t NewNonce();

  struct Reservation {
    TaskKey task;
    std::string worker;
    TimePoint made;
  };
  struct PendingMove {
    Waiter caller;
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
  // Payload and output bytes of running jobs.
  std::size_t job_bytes = 0;
  // Running jobs by the time they are next checked.
  std::set<std::pair<TimePoint, std::uint64_t>> wakes;
  std::multimap<TimePoint, TaskKey> timers;

  RunTimeModel run_times;
  RetryBudget retry_budget;
  LoadView loads;
  ReadyQueue ready;
  std::map<std::string, WorkerLink> links;
  std::unordered_map<std::uint64_t, Reservation> reservations;
  std::uint64_t next_reservation = 1;

  bool leaving = false;
  std::vector<std::string> successors;
  std::uint64_t successor_request = 0;
  std::string successor;
  TimePoint successor_due = TimePoint::max();
  int successor_tries = 0;
  std::deque<api::Ticket> successor_tickets;
  std::deque<PendingMove> pending_moves;
  TimePoint last_now{};
};

}  // namespace coltsfoottide::core
