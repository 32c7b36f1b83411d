#include <algorithm>
#include <utility>
#include <vector>

#include "coltsfoottide/core/outbox.h"
#include "worker_state.h"

namespace coltsfoottide::core {
namespace {

constexpr Duration kLoadUpdateInterval = std::chrono::milliseconds(100);
// Coordinators that have sent no message for longer get no load update about
// free slots.
constexpr Duration kActiveCoordinatorTime = std::chrono::seconds(5);
// No slow start follows an interruption shorter than this: the backend server is
// still warm, and a late renewal of the start permission would otherwise close
// most of the slots.
constexpr Duration kMinSlowStartInterruption = std::chrono::seconds(1);
// The permission may expire or become valid without an event at the worker.
constexpr Duration kPollInterval = std::chrono::milliseconds(100);
constexpr Duration kExpiryInterval = std::chrono::seconds(1);
// Bounds the unacknowledged tasks of one coordinator. Beyond it the worker
// removes its record of the coordinator: its Starts are then refused, and its
// tasks are reported as unknown, never as not started.
constexpr std::size_t kMaxTasksPerCoordinator = 16384;

}  // namespace

bool Worker::State::Accepting(TimePoint now) const {
  const bool closed = probation.ejected() && probation.OpenSlots(1, now) == 0;
  return !closed && !RefusalReason(now);
}

void Worker::State::UpdateAccepting(TimePoint now) {
  const bool accepting = Accepting(now);
  if (accepting && !was_accepting) {
    if (last_accepting == TimePoint::min() || now - last_accepting >= kMinSlowStartInterruption) {
      slow_start.Begin(now);
    }
    next_load_check = now;
  } else if (!accepting && was_accepting) {
    next_load_check = now;
    DropReservations(RefusalReason(now).value_or(wire::BUSY), now);
  }
  was_accepting = accepting;
  if (accepting) {
    last_accepting = now;
  }
}

wire::Load Worker::State::LoadNow(TimePoint now) const {
  wire::Load load;
  load.set_slots(OpenSlots(now));
  load.set_busy(tasks.running() + static_cast<std::uint32_t>(offers.size()));
  load.set_queued(static_cast<std::uint32_t>(queue.size()));
  load.set_accepting(Accepting(now));
  load.set_version(load_version);
  return load;
}

wire::Load Worker::State::LoadFor(std::uint64_t coordinator, TimePoint now) {
  ++load_version;
  wire::Load load = LoadNow(now);
  if (CoordinatorLink* link = sessions.Find(coordinator)) {
    link->load_sent = now;
    link->reported_accepting = load.accepting();
    link->reported_full = load.busy() >= load.slots();
  }
  return load;
}

void Worker::State::SendLoadUpdates(TimePoint now) {
  const bool full = FreeSlots(now) == 0;
  if (was_full && !full) {
    next_load_check = now;
  }
  was_full = full;
  if (now < next_load_check) {
    return;
  }
  next_load_check = TimePoint::max();
  for (auto& [incarnation, link] : sessions.links()) {
    const bool needs_free_slot_update = link.reported_full && !full && was_accepting &&
                                        now - link.last_received <= kActiveCoordinatorTime;
    if (link.reported_accepting == was_accepting && !needs_free_slot_update) {
      continue;
    }
    if (link.load_sent != TimePoint::min() && now < link.load_sent + kLoadUpdateInterval) {
      next_load_check = std::min(next_load_check, link.load_sent + kLoadUpdateInterval);
      continue;
    }
    wire::Envelope envelope;
    *envelope.mutable_load_update()->mutable_load() = LoadFor(incarnation, now);
    outbox.Send(link.endpoint, std::move(envelope));
  }
}

void Worker::State::FinishEvent(TimePoint now) {
  last_event = now;
  UpdateAccepting(now);
  ExpireOffers(now);
  OfferFreeSlots(now);
  SendLoadUpdates(now);
}

void Worker::State::Expire(TimePoint now) {
  if (now < next_expiry) {
    return;
  }
  next_expiry = now + kExpiryInterval;
  tasks.DropResultsBefore(now - options.result_timeout);
  queue.RemoveExpired(now);
  for (const std::uint64_t inactive : sessions.InactiveSince(now - options.reservation_timeout)) {
    queue.RemoveAllOf(inactive);
  }
  for (const std::uint64_t inactive : sessions.InactiveSince(now - options.session_timeout)) {
    RemoveCoordinator(inactive);
  }
  std::vector<std::uint64_t> over_limit;
  for (const auto& [incarnation, link] : sessions.links()) {
    if (tasks.TaskCount(incarnation) > kMaxTasksPerCoordinator) {
      over_limit.push_back(incarnation);
    }
  }
  for (const std::uint64_t incarnation : over_limit) {
    RemoveCoordinator(incarnation);
  }
}

TimePoint Worker::State::NextWake() const {
  TimePoint wake = last_event == TimePoint::min() ? last_event : last_event + kPollInterval;
  if (!offers.empty()) {
    wake = std::min(wake, offers.begin()->second.expires);
  }
  return std::min(wake, next_load_check);
}

}  // namespace coltsfoottide::core
