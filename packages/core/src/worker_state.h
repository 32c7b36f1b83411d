#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "coltsfoottide/core/worker.h"
#include "concurrency_limit.h"
#include "probation.h"
#include "reservation_queue.h"
#include "session_table.h"
#include "slow_start.h"
#include "started_tasks.h"

namespace coltsfoottide::core {

// Implementation of Worker: worker_starts.cc runs tasks, worker_slots.cc
// allocates the slots, worker_load.cc reports the load to coordinators.
struct Worker::State {
  // A free slot held for a coordinator until it answers or the offer expires.
  struct HeldOffer {
    std::uint64_t coordinator = 0;
    api::JobClass job_class = api::URGENT;
    TimePoint expires;
  };

  State(WorkerOptions opts, const StartPermission& perm, Outbox& out, BackendPort& port,
        std::uint64_t seed);

  // Starts and results.
  void OnStart(const wire::Envelope& envelope, TimePoint now);
  void OnResultAck(const wire::Envelope& envelope, TimePoint now);
  void OnResolve(const wire::Envelope& envelope, TimePoint now);
  void OnDone(const wire::TaskId& id, BackendOutcome outcome, const std::string& output,
              TimePoint now);
  // Sends the result of a finished task again, or OUTCOME_UNKNOWN if the result
  // was dropped.
  void ResendResult(const StartedTasks::Task& task, const std::string& endpoint, TimePoint now);
  std::optional<wire::StartRefusal> CheckSession(const wire::Start& start,
                                                 const CoordinatorLink* link);
  std::optional<wire::StartRefusal> CheckStart(const wire::Start& start, std::uint64_t coordinator,
                                               TimePoint now);
  void Refuse(const wire::TaskId& id, std::uint64_t link_sequence, wire::StartRefusal refusal,
              const std::string& endpoint, TimePoint now);
  void SendResult(const wire::Result& result, const std::string& endpoint, TimePoint now);
  // Converts a budget, bounded by the longest allowed deadline.
  static Duration BudgetOf(std::uint64_t budget_us);

  // Sessions, reservations, offers and slots.
  void OnHello(const wire::Envelope& envelope, TimePoint now);
  void OnReserve(const wire::Envelope& envelope, TimePoint now);
  void OnDecline(const wire::Envelope& envelope);
  void OnUnreserve(const wire::Envelope& envelope);
  void RemoveCoordinator(std::uint64_t coordinator);
  // Returns why no start is accepted now, or nothing.
  std::optional<wire::StartRefusal> RefusalReason(TimePoint now) const;
  std::uint32_t OpenSlots(TimePoint now) const;
  std::uint32_t FreeSlots(TimePoint now) const;
  bool HasSlot(api::JobClass job_class, TimePoint now) const;
  // Removes the offer if it is held for the coordinator; returns whether it
  // was.
  bool TakeOffer(std::uint64_t number, std::uint64_t coordinator, TimePoint now);
  void ExpireOffers(TimePoint now);
  void OfferFreeSlots(TimePoint now);
  void RefuseReservation(std::uint64_t coordinator, std::uint64_t number,
                         wire::StartRefusal refusal, const std::string& endpoint, TimePoint now);
  void DropReservations(wire::StartRefusal refusal, TimePoint now);

  // Load.
  bool Accepting(TimePoint now) const;
  // Handles a change of Accepting(): begins a slow start, or refuses the queued
  // reservations.
  void UpdateAccepting(TimePoint now);
  wire::Load LoadNow(TimePoint now) const;
  // Returns the load for a message that is about to be sent to the coordinator
  // and records that it was reported.
  wire::Load LoadFor(std::uint64_t coordinator, TimePoint now);
  void SendLoadUpdates(TimePoint now);

  // Called at the end of each event: expires offers, makes new ones and sends
  // load updates.
  void FinishEvent(TimePoint now);
  void Expire(TimePoint now);
  TimePoint NextWake() const;

  WorkerOptions options;
  const StartPermission& permission;
  Outbox& outbox;
  BackendPort& backend;

  SessionTable sessions;
  StartedTasks tasks;
  ReservationQueue queue;
  std::map<std::uint64_t, HeldOffer> offers;
  std::uint64_t next_offer = 1;
  std::uint32_t offered_bulk = 0;

  ConcurrencyLimit limit;
  SlowStart slow_start;
  Probation probation;
  bool backend_serving = false;
  bool leaving = false;

  bool was_accepting = false;
  TimePoint last_accepting = TimePoint::min();
  bool was_full = false;
  std::uint64_t load_version = 0;
  TimePoint next_load_check = TimePoint::max();
  TimePoint next_expiry = TimePoint::min();
  TimePoint last_event = TimePoint::min();
  WorkerCounters counters;
};

}  // namespace coltsfoottide::core
