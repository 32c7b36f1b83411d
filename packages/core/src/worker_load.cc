#include <algorithm>
#include <utility>
#include <vector>

#include "coltsfoottide/core/outbox.h"
#include "worker_state.h"

namespace coltsfoottide::core {
namespace {

constexpr Duration kLoadUpdateInterval = std::chrono::milliseconds(100);
// Coordinators silent for longer are not told of free slots.
constexpr Duration kActiveTime = std::chrono::seconds(5);
// An absence shorter than this does not begin a ramp-up: the backend server
// is still warm, and a late renewal would otherwise cost most of the slots.
constexpr Duration kRampUpAfter = std::chrono::seconds(1);
// The permission may lapse or return without an event at the worker.
constexpr Duration kPollInterval = std::chrono::milliseconds(100);
constexpr Duration kExpiryInterval = std::chrono::seconds(1);
// Unacknowledged tasks remembered for one coordinator. Past it the worker
// forgets the coordinator, whose Starts are then refused and whose tasks are
// answered as unknown, never as not started.
constexpr std::size_t kMaxTasksPerCoordinator = 16384;

}  // namespace

bool Worker::State::Accepting(TimePoint now) const {
  const bool closed = probation.ejected() && probation.Open(1, now) == 0;
  return !closed && !NotAccepting(now);
}

void Worker::State::FollowAccepting(TimePoint now) {
  const bool accepting = Accepting(now);
  if (accepting && !was_accepting) {
    if (last_accepting == TimePoint::min() || now - last_accepting >= kRampUpAfter) {
      ramp_up.Begin(now);
    }
    next_load_check = now;
  } else if (!accepting && was_accepting) {
    next_load_check = now;
    DropReservations(NotAccepting(now).value_or(wire::BUSY), now);
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
    link->told_accepting = load.accepting();
    link->told_full = load.busy() >= load.slots();
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
    const bool slots_unknown =
        link.told_full && !full && was_accepting && now - link.heard <= kActiveTime;
    if (link.told_accepting == was_accepting && !slots_unknown) {
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

void Worker::State::Settle(TimePoint now) {
  last_event = now;
  FollowAccepting(now);
  LapseOffers(now);
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
  for (const std::uint64_t silent : sessions.HeardBefore(now - options.reservation_timeout)) {
    queue.RemoveAllOf(silent);
  }
  for (const std::uint64_t silent : sessions.HeardBefore(now - options.session_timeout)) {
    Forget(silent);
  }
  std::vector<std::uint64_t> too_large;
  for (const auto& [incarnation, link] : sessions.links()) {
    if (tasks.KnownOf(incarnation) > kMaxTasksPerCoordinator) {
      too_large.push_back(incarnation);
    }
  }
  for (const std::uint64_t incarnation : too_large) {
    Forget(incarnation);
  }
}

TimePoint Worker::State::NextWake() const {
  TimePoint wake = last_event == TimePoint::min() ? last_event : last_event + kPollInterval;
  if (!offers.empty()) {
    wake = std::min(wake, offers.begin()->second.lapses);
  }
  return std::min(wake, next_load_check);
}

}  // namespace coltsfoottide::core
