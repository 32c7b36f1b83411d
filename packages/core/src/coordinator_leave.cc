#include <algorithm>
#include <utility>

#include "coltsfoottide/schema/errors.h"
#include "coltsfoottide/schema/limits.h"
#include "coordinator_state.h"

namespace coltsfoottide::core {
namespace {

constexpr Duration kSuccessorTimeout = std::chrono::milliseconds(500);
constexpr int kMaxSuccessorTries = 4;
constexpr std::size_t kMaxPendingMoves = 1024;

}  // namespace

void Coordinator::State::BeginLeave(TimePoint now) {
  if (leaving) {
    return;
  }
  leaving = true;
  if (tickets.unused() > 0) {
    FetchSuccessorTickets(now);
  }
}

void Coordinator::State::MoveTicket(const CallerId& caller, const api::Ticket& ticket,
                                    TimePoint now) {
  if (pending_moves.size() >= kMaxPendingMoves) {
    return RefuseTicket(
        caller, ticket,
        schema::MakeError(api::NOT_RUN, api::COORDINATOR_LEAVING, "the coordinator is leaving"));
  }
  pending_moves.push_back({caller, ticket});
  ServePendingMoves();
  if (!pending_moves.empty() && successor_due == TimePoint::max()) {
    FetchSuccessorTickets(now);
  }
}

// Requests tickets from a random candidate. When it does not answer within
// kSuccessorTimeout, another one is tried.
void Coordinator::State::FetchSuccessorTickets(TimePoint now) {
  if (successors.empty() || successor_tries >= kMaxSuccessorTries) {
    successor_due = TimePoint::max();
    successor_tries = 0;
    return RefusePendingMoves();
  }
  std::uniform_int_distribution<std::size_t> index(0, successors.size() - 1);
  successor = successors[index(random)];
  successor_request = NewNonce();
  successor_due = now + kSuccessorTimeout;
  ++successor_tries;
  wire::Envelope envelope;
  wire::TicketRequest* request = envelope.mutable_ticket_request();
  request->set_request(successor_request);
  request->set_count(static_cast<std::uint32_t>(
      std::clamp<std::size_t>(tickets.unused(), 1, schema::kMaxTicketsPerCall)));
  outbox.Send(successor, std::move(envelope));
}

void Coordinator::State::OnTicketReply(const std::string& from, const wire::TicketReply& reply,
                                       TimePoint now) {
  if (successor_due == TimePoint::max() || reply.request() != successor_request ||
      from != successor) {
    return;
  }
  if (reply.tickets_size() == 0) {
    return FetchSuccessorTickets(now);
  }
  successor_due = TimePoint::max();
  successor_tries = 0;
  successor_tickets.insert(successor_tickets.end(), reply.tickets().begin(), reply.tickets().end());
  ServePendingMoves();
  if (!pending_moves.empty()) {
    FetchSuccessorTickets(now);
  }
}

void Coordinator::State::CheckSuccessor(TimePoint now) {
  if (successor_due <= now) {
    FetchSuccessorTickets(now);
  }
}

// A pending ticket that was moved or cancelled in the meantime needs no
// successor ticket.
void Coordinator::State::ServePendingMoves() {
  std::deque<PendingMove> remaining;
  for (PendingMove& move : pending_moves) {
    const std::uint64_t sequence = move.ticket.sequence();
    if (tickets.StateOf(sequence) == TicketWindow::State::kIssued) {
      if (successor_tickets.empty()) {
        remaining.push_back(std::move(move));
        continue;
      }
      tickets.Move(sequence, std::move(successor_tickets.front()));
      successor_tickets.pop_front();
    }
    ReplyWithoutJob(move.caller, move.ticket);
  }
  pending_moves = std::move(remaining);
}

void Coordinator::State::RefusePendingMoves() {
  std::deque<PendingMove> refused;
  refused.swap(pending_moves);
  for (const PendingMove& move : refused) {
    if (tickets.StateOf(move.ticket.sequence()) != TicketWindow::State::kIssued) {
      ReplyWithoutJob(move.caller, move.ticket);
      continue;
    }
    RefuseTicket(move.caller, move.ticket,
                 schema::MakeError(api::NOT_RUN, api::COORDINATOR_LEAVING,
                                   "the coordinator is leaving and no successor answered"));
  }
}

}  // namespace coltsfoottide::core
