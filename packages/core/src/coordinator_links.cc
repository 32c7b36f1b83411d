#include <algorithm>
#include <set>
#include <utility>

#include "coordinator_state.h"

namespace coltsfoottide::core {
namespace {

// Acknowledgements are sent before ack_delay ends when this many are pending,
// or when the worker holds this many bytes of unacknowledged results.
constexpr std::size_t kMaxAcks = 64;
constexpr std::size_t kMaxAckBytes = 512 * 1024;
// Reservations dropped within this time are removed with one Unreserve.
constexpr Duration kUnreserveDelay = std::chrono::milliseconds(1);
constexpr std::size_t kMaxUnreserves = 256;
// Bounds the measured round trip, which may include connection set-up.
constexpr Duration kMaxRoundTrip = std::chrono::milliseconds(10);

}  // namespace

void Coordinator::State::SendToWorker(const std::string& endpoint, wire::Envelope envelope) {
  ++counters.other_messages;
  outbox.Send(endpoint, std::move(envelope));
}

void Coordinator::State::SetCandidates(const std::vector<api::WorkerInfo>& candidates,
                                       TimePoint now) {
  std::set<std::string> listed;
  successors.clear();
  for (const api::WorkerInfo& info : candidates) {
    listed.insert(info.endpoint());
    if (info.state() == api::SERVING && info.endpoint() != options.endpoint) {
      successors.push_back(info.endpoint());
    }
    AddCandidate(info, now);
  }
  std::vector<std::string> removed;
  for (const auto& [endpoint, link] : links) {
    if (link.candidate && !listed.contains(endpoint)) {
      removed.push_back(endpoint);
    }
  }
  for (const std::string& endpoint : removed) {
    DropCandidate(*FindLink(endpoint), now);
  }
}

void Coordinator::State::AddCandidate(const api::WorkerInfo& info, TimePoint now) {
  loads.SetCandidate(info);
  WorkerLink& link = links[info.endpoint()];
  const bool restarted = link.listed_incarnation != 0 &&
                         link.listed_incarnation != info.incarnation() &&
                         link.incarnation != info.incarnation();
  link.listed_incarnation = info.incarnation();
  link.endpoint = info.endpoint();
  link.candidate = true;
  if (restarted || (link.session == 0 && link.hello_nonce == 0)) {
    SendHello(link, now);
  }
  UpdateReachable(link);
}

// Sends a Resolve for the outstanding starts of the worker; the link is erased
// when none is left.
void Coordinator::State::DropCandidate(WorkerLink& link, TimePoint now) {
  link.candidate = false;
  loads.Remove(link.endpoint);
  DropWorkerReservations(link, true, now);
  FlushUnreserves(link);
  if (link.outstanding.empty()) {
    FlushAcks(link);
    links.erase(std::string(link.endpoint));
  } else {
    ResolveAll(link, false, now);
  }
}

// Closes the current session: nothing is started until the reply, because the
// worker may drop an older session when it opens a new one.
void Coordinator::State::SendHello(WorkerLink& link, TimePoint now) {
  CloseSession(link, now);
  link.hello_nonce = NewNonce();
  link.hello_sent = now;
  wire::Envelope envelope;
  envelope.mutable_hello()->set_nonce(link.hello_nonce);
  SendToWorker(link.endpoint, std::move(envelope));
}

void Coordinator::State::OnHelloAck(WorkerLink& link, std::uint64_t incarnation,
                                    const wire::HelloAck& ack, TimePoint now) {
  ++counters.other_messages;
  if (link.hello_nonce == 0 || ack.nonce() != link.hello_nonce) {
    return;
  }
  if (link.incarnation != 0 && link.incarnation != incarnation) {
    FailOutstanding(link, 0, "the worker was restarted", now);
  }
  // The Hello may have waited for the connection to open.
  loads.SetRoundTrip(link.endpoint, std::min(now - link.hello_sent, kMaxRoundTrip));
  link.hello_nonce = 0;
  link.incarnation = incarnation;
  link.session = ack.session();
  link.last_sequence = 0;
  loads.ClearLoad(link.endpoint);
  UpdateLoad(link, ack.load(), now);
  MarkResponsive(link, now);
  UpdateReachable(link);
}

void Coordinator::State::OnLoadUpdate(WorkerLink& link, const wire::LoadUpdate& update,
                                      TimePoint now) {
  ++counters.other_messages;
  UpdateLoad(link, update.load(), now);
}

void Coordinator::State::UpdateLoad(WorkerLink& link, const wire::Load& load, TimePoint now) {
  loads.Update(link.endpoint, load, now);
  if (!load.accepting()) {
    // A worker that stops accepting has dropped its reservations. It may be
    // leaving, and then waits for the acknowledgements of its results.
    DropWorkerReservations(link, true, now);
    FlushAcks(link);
  }
}

void Coordinator::State::CloseSession(WorkerLink& link, TimePoint now) {
  link.session = 0;
  DropWorkerReservations(link, false, now);
  UpdateReachable(link);
}

void Coordinator::State::OnLinkDown(const std::string& endpoint, TimePoint now) {
  WorkerLink* link = FindLink(endpoint);
  // For a silent link a Hello or Resolve is outstanding already; its new
  // connection may be refused repeatedly.
  if (link == nullptr || link->silent || link->hello_nonce != 0) {
    return;
  }
  MarkSilent(*link, now);
  if (!link->outstanding.empty()) {
    ResolveAll(*link, true, now);
  } else if (link->candidate) {
    SendHello(*link, now);
  }
}

// Nothing is placed on the worker until a message from it arrives; tasks with
// reservations there are placed elsewhere.
void Coordinator::State::MarkSilent(WorkerLink& link, TimePoint now) {
  link.silent = true;
  UpdateReachable(link);
  DropWorkerReservations(link, true, now);
}

void Coordinator::State::MarkResponsive(WorkerLink& link, TimePoint now) {
  link.last_received = now;
  link.resolves = 0;
  if (link.silent) {
    link.silent = false;
    UpdateReachable(link);
  }
}

void Coordinator::State::UpdateReachable(const WorkerLink& link) {
  loads.SetReachable(link.endpoint, link.session != 0 && !link.silent);
}

void Coordinator::State::AddAck(WorkerLink& link, const wire::Result& result, TimePoint now) {
  if (link.acks.empty()) {
    link.ack_due = now + options.ack_delay;
  }
  link.acks.push_back(result.task());
  link.ack_bytes += result.output().size();
  if (link.acks.size() >= kMaxAcks || link.ack_bytes >= kMaxAckBytes) {
    FlushAcks(link);
  }
}

void Coordinator::State::FlushAcks(WorkerLink& link) {
  link.ack_due = TimePoint::max();
  if (link.acks.empty()) {
    return;
  }
  wire::Envelope envelope;
  wire::ResultAck* ack = envelope.mutable_result_ack();
  ack->set_session(link.session);
  ack->mutable_tasks()->Add(link.acks.begin(), link.acks.end());
  link.acks.clear();
  link.ack_bytes = 0;
  SendToWorker(link.endpoint, std::move(envelope));
}

void Coordinator::State::AddUnreserve(WorkerLink& link, std::uint64_t reservation, TimePoint now) {
  if (link.unreserves.empty()) {
    link.unreserve_due = now + kUnreserveDelay;
  }
  link.unreserves.push_back(reservation);
  if (link.unreserves.size() >= kMaxUnreserves) {
    FlushUnreserves(link);
  }
}

void Coordinator::State::FlushUnreserves(WorkerLink& link) {
  link.unreserve_due = TimePoint::max();
  if (link.unreserves.empty()) {
    return;
  }
  wire::Envelope envelope;
  wire::Unreserve* unreserve = envelope.mutable_unreserve();
  unreserve->set_session(link.session);
  unreserve->mutable_reservations()->Add(link.unreserves.begin(), link.unreserves.end());
  link.unreserves.clear();
  SendToWorker(link.endpoint, std::move(envelope));
}

}  // namespace coltsfoottide::core
