#include <algorithm>
#include <utility>

#include "coltsfoottide/core/outbox.h"
#include "coltsfoottide/core/start_permission.h"
#include "worker_state.h"

namespace coltsfoottide::core {
void Worker::State::OnHello(const wire::Envelope& envelope, TimePoint now) {
  // A new incarnation at the endpoint means that the older process has ended.
  for (const std::uint64_t older :
       sessions.OtherIncarnationsAt(envelope.from(), envelope.incarnation())) {
    queue.RemoveAllOf(older);
  }
  wire::Envelope reply;
  wire::HelloAck& ack = *reply.mutable_hello_ack();
  ack.set_nonce(envelope.hello().nonce());
  ack.set_session(
      sessions.Hello(envelope.incarnation(), envelope.from(), envelope.hello().nonce(), now));
  for (const std::uint64_t oldest : sessions.EvictionCandidates()) {
    RemoveCoordinator(oldest);
  }
  *ack.mutable_load() = LoadFor(envelope.incarnation(), now);
  outbox.Send(envelope.from(), std::move(reply));
}

void Worker::State::OnReserve(const wire::Envelope& envelope, TimePoint now) {
  const wire::Reserve& reserve = envelope.reserve();
  std::optional<wire::StartRefusal> refusal;
  if (!Accepting(now)) {
    refusal = RefusalReason(now).value_or(wire::BUSY);
  }
  if (sessions.FindCurrent(envelope.incarnation(), reserve.session()) == nullptr) {
    refusal = wire::UNKNOWN_SESSION;
  } else if (queue.Contains(envelope.incarnation(), reserve.reservation())) {
    return;
  } else if (!refusal && reserve.budget_us() == 0) {
    refusal = wire::EXPIRED;
  } else if (!refusal && queue.Full()) {
    refusal = wire::BUSY;
  }
  if (refusal) {
    RefuseReservation(envelope.incarnation(), reserve.reservation(), *refusal, envelope.from(),
                      now);
    return;
  }
  queue.Add({envelope.incarnation(), reserve.reservation(), reserve.job_class(),
             now + BudgetOf(reserve.budget_us())});
}

void Worker::State::OnDecline(const wire::Envelope& envelope) {
  const auto it = offers.find(envelope.decline().offer());
  if (it != offers.end() && it->second.coordinator == envelope.incarnation()) {
    offered_bulk -= it->second.job_class == api::BULK ? 1 : 0;
    offers.erase(it);
  }
}

void Worker::State::OnUnreserve(const wire::Envelope& envelope) {
  for (const std::uint64_t number : envelope.unreserve().reservations()) {
    queue.Remove(envelope.incarnation(), number);
  }
}

void Worker::State::RemoveCoordinator(std::uint64_t coordinator) {
  queue.RemoveAllOf(coordinator);
  tasks.RemoveCoordinator(coordinator);
  sessions.Erase(coordinator);
}

std::optional<wire::StartRefusal> Worker::State::RefusalReason(TimePoint now) const {
  if (leaving) {
    return wire::WORKER_LEAVING;
  }
  if (!permission.Permits(now)) {
    return wire::NOT_PERMITTED;
  }
  return backend_serving ? std::nullopt : std::optional(wire::BACKEND_REFUSED);
}

std::uint32_t Worker::State::OpenSlots(TimePoint now) const {
  return probation.OpenSlots(slow_start.OpenSlots(limit.Value(now), now), now);
}

std::uint32_t Worker::State::FreeSlots(TimePoint now) const {
  const auto busy = tasks.running() + static_cast<std::uint32_t>(offers.size());
  const std::uint32_t open = OpenSlots(now);
  return open > busy ? open - busy : 0;
}

bool Worker::State::HasSlot(api::JobClass job_class, TimePoint now) const {
  if (FreeSlots(now) == 0) {
    return false;
  }
  const std::uint32_t open = OpenSlots(now);
  const std::uint32_t bulk_slots = open >= 2 ? open - 1 : open;
  return job_class != api::BULK || tasks.running_bulk() + offered_bulk < bulk_slots;
}

bool Worker::State::TakeOffer(std::uint64_t number, std::uint64_t coordinator, TimePoint now) {
  ExpireOffers(now);
  const auto it = offers.find(number);
  if (it == offers.end() || it->second.coordinator != coordinator) {
    return false;
  }
  offered_bulk -= it->second.job_class == api::BULK ? 1 : 0;
  offers.erase(it);
  return true;
}

void Worker::State::ExpireOffers(TimePoint now) {
  // All offers are held for the same time, so they expire in the order of their
  // numbers.
  while (!offers.empty() && offers.begin()->second.expires <= now) {
    offered_bulk -= offers.begin()->second.job_class == api::BULK ? 1 : 0;
    offers.erase(offers.begin());
    ++counters.offers_expired;
  }
}

void Worker::State::OfferFreeSlots(TimePoint now) {
  while (queue.size() > 0 && !RefusalReason(now) && HasSlot(api::URGENT, now)) {
    const auto next = queue.Take(HasSlot(api::BULK, now));
    if (!next) {
      return;
    }
    const CoordinatorLink* link = sessions.Find(next->coordinator);
    if (link == nullptr || next->deadline <= now) {
      continue;
    }
    const std::uint64_t number = next_offer++;
    offers[number] = {next->coordinator, next->job_class, now + options.offer_hold};
    offered_bulk += next->job_class == api::BULK ? 1 : 0;
    ++counters.offers;
    wire::Envelope envelope;
    envelope.mutable_offer()->set_reservation(next->number);
    envelope.mutable_offer()->set_offer(number);
    *envelope.mutable_offer()->mutable_load() = LoadFor(next->coordinator, now);
    outbox.Send(link->endpoint, std::move(envelope));
  }
}

void Worker::State::RefuseReservation(std::uint64_t coordinator, std::uint64_t number,
                                      wire::StartRefusal refusal, const std::string& endpoint,
                                      TimePoint now) {
  wire::Envelope envelope;
  wire::ReserveRefused& refused = *envelope.mutable_reserve_refused();
  refused.set_reservation(number);
  refused.set_refusal(refusal);
  *refused.mutable_load() = LoadFor(coordinator, now);
  outbox.Send(endpoint, std::move(envelope));
}

void Worker::State::DropReservations(wire::StartRefusal refusal, TimePoint now) {
  for (const Reservation& dropped : queue.TakeAll()) {
    if (const CoordinatorLink* link = sessions.Find(dropped.coordinator)) {
      RefuseReservation(dropped.coordinator, dropped.number, refusal, link->endpoint, now);
    }
  }
}

}  // namespace coltsfoottide::core
