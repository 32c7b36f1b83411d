#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "coltsfoottide/core/worker.h"
#include "concurrency_limit.h"
#include "probation.h"
#include "ramp_up.h"
#include "reservation_queue.h"
#include "session_table.h"
#include "started_tasks.h"

namespace coltsfoottide::core {

// The parts of a worker. worker_starts.cc runs tasks, worker_slots.cc divides
// the slots, worker_load.cc tells coordinators of the load.
struct Worker::State {
  // A free slot held for a coordinator until it answers.
  struct HeldOffer {
    std::uint64_t coordinator = 0;
    api::JobClass job_class = api::URGENT;
    TimePoint lapses;
  };

  State(WorkerOptions opts, const StartPermission& perm, Outbox& out, BackendPort& port,
        std::uint64_t seed);

  // Starts and their ends.
  void OnStart(const wire::Envelope& envelope, TimePoint now);
  void OnResultAck(const wire::Envelope& envelope, TimePoint now);
  void OnResolve(const wire::Envelope& envelope, TimePoint now);
  void OnDone(const wire::TaskId& id, BackendOutcome outcome, const std::string& output,
              TimePoint now);
  void AnswerKnown(const StartedTasks::Task& task, const std::string& endpoint, TimePoint now);
  std::optional<wire::StartRefusal> CheckSession(const wire::Start& start,
                                                 const CoordinatorLink* link);
  std::optional<wire::StartRefusal> CheckStart(const wire::Start& start, std::uint64_t coordinator,
                                               TimePoint now);
  void Refuse(const wire::TaskId& id, std::uint64_t link_sequence, wire::StartRefusal refusal,
              const std::string& endpoint, TimePoint now);
  void SendResult(const wire::Result& result, const std::string& endpoint, TimePoint now);
  // Returns the time that a budget leaves, at most the longest deadline.
  static Duration BudgetOf(std::uint64_t budget_us);

  // Sessions, reservations, offers and slots.
  void OnHello(const wire::Envelope& envelope, TimePoint now);
  void OnReserve(const wire::Envelope& envelope, TimePoint now);
  void OnDecline(const wire::Envelope& envelope);
  void OnUnreserve(const wire::Envelope& envelope);
  void Forget(std::uint64_t coordinator);
  std::optional<wire::StartRefusal> NotAccepting(TimePoint now) const;
  std::uint32_t OpenSlots(TimePoint now) const;
  std::uint32_t FreeSlots(TimePoint now) const;
  bool HasSlot(api::JobClass job_class, TimePoint now) const;
  // Removes the offer and returns true if it is held for the coordinator.
  bool TakeOffer(std::uint64_t number, std::uint64_t coordinator, TimePoint now);
  void LapseOffers(TimePoint now);
  void OfferFreeSlots(TimePoint now);
  void RefuseReservation(std::uint64_t coordinator, std::uint64_t number,
                         wire::StartRefusal refusal, const std::string& endpoint, TimePoint now);
  void DropReservations(wire::StartRefusal refusal, TimePoint now);

  // Load.
  bool Accepting(TimePoint now) const;
  // Follows changes of `accepting`: ramp-up, reservations.
  void FollowAccepting(TimePoint now);
  wire::Load LoadNow(TimePoint now) const;
  // The load for a message that is about to be sent to the endpoint of the
  // coordinator.
  wire::Load LoadFor(std::uint64_t coordinator, TimePoint now);
  void SendLoadUpdates(TimePoint now);

  // What every event ends with: lapsed offers, new offers, load updates.
  void Settle(TimePoint now);
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
  RampUp ramp_up;
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
  WorkerCounters counts;
};

}  // namespace coltsfoottide::core
