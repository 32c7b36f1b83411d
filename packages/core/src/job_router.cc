#include "coltsfoottide/core/job_router.h"

#include <algorithm>
#include <utility>

#include "coltsfoottide/schema/errors.h"
#include "coltsfoottide/schema/limits.h"
#include "job_router_state.h"

namespace coltsfoottide::core {
namespace {

constexpr Duration kTicketTimeout = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kDefaultWait = std::chrono::seconds(30);
// Coordinators asked for one ListJobs.
constexpr std::size_t kMaxListedCoordinators = 64;
// Total size of the jobs kept to send them again, until their coordinators have
// confirmed them.
constexpr std::size_t kMaxJobBytes = 128 * 1024 * 1024;
// The coordinator answers at the deadline itself; the entry responds this much
// later if that answer has not arrived.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(250);

std::uint64_t FirstRequest(std::mt19937_64& random) {
  // Random, so that a late reply to an earlier process at this endpoint does
  // not match; halved, so that the numbers do not wrap.
  return random() / 2;
}

}  // namespace

JobRouter::State::State(JobRouterOptions opts, Outbox& out, CallSink& target, std::uint64_t seed)
    : options(opts),
      outbox(out),
      sink(target),
      random(seed),
      next_request(FirstRequest(random)),
      ticket_pool(opts.tickets_per_coordinator, out, random()),
      job_list_collector(out, FirstRequest(random)),
      monitor(opts.silence_timeout, opts.lost_timeout) {}

JobRouter::JobRouter(JobRouterOptions options, Outbox& outbox, CallSink& sink, std::uint64_t seed)
    : state_(std::make_unique<State>(options, outbox, sink, seed)) {}

JobRouter::~JobRouter() = default;

void JobRouter::ObtainTickets(std::uint64_t call, const api::ObtainTicketsRequest& request,
                              TimePoint now) {
  state_->ObtainTickets(call, request.count(), now);
}

void JobRouter::Submit(std::uint64_t call, const api::SubmitRequest& request,
                       const std::optional<api::Error>& refusal, TimePoint now) {
  RoutedCall routed;
  routed.kind = RoutedCall::Kind::kSubmit;
  routed.call = call;
  routed.ticket = request.ticket();
  routed.job = request.job();
  routed.wait = request.wait();
  routed.refusal = refusal;
  if (routed.job.deadline_ms() > 0) {
    routed.response_deadline =
        now + std::chrono::milliseconds(routed.job.deadline_ms()) + kDeadlineGrace;
  }
  state_->StartCall(std::move(routed), now);
}

void JobRouter::Wait(std::uint64_t call, const api::WaitRequest& request, TimePoint now) {
  RoutedCall routed;
  routed.kind = RoutedCall::Kind::kWait;
  routed.call = call;
  routed.ticket = request.ticket();
  routed.response_deadline =
      now +
      (request.timeout_ms() == 0 ? kDefaultWait : std::chrono::milliseconds(request.timeout_ms()));
  state_->StartCall(std::move(routed), now);
}

void JobRouter::Cancel(std::uint64_t call, const api::CancelRequest& request, TimePoint now) {
  RoutedCall routed;
  routed.kind = RoutedCall::Kind::kCancel;
  routed.call = call;
  routed.ticket = request.ticket();
  routed.response_deadline = now + state_->options.lost_timeout;
  state_->StartCall(std::move(routed), now);
}

void JobRouter::Status(std::uint64_t call, const api::StatusRequest& request, TimePoint now) {
  RoutedCall routed;
  routed.kind = RoutedCall::Kind::kStatus;
  routed.call = call;
  routed.ticket = request.ticket();
  routed.response_deadline = now + state_->options.lost_timeout;
  state_->StartCall(std::move(routed), now);
}

void JobRouter::ListJobs(std::uint64_t call, const api::ListJobsRequest& request, TimePoint now) {
  const std::size_t asked =
      state_->Pending() < state_->options.max_calls ? kMaxListedCoordinators : 0;
  state_->job_list_collector.Begin(call, state_->ticket_pool.Endpoints(asked), request.limit(),
                                   now);
  state_->RespondLists(now);
}

void JobRouter::Abandon(std::uint64_t call) {
  state_->Remove(call);
  state_->undelivered.erase(call);
  state_->job_list_collector.Abandon(call);
  std::erase_if(state_->ticket_calls, [call](const auto& it) { return it.call == call; });
}

void JobRouter::OnDelivered(std::uint64_t call, TimePoint) {
  const auto node = state_->undelivered.extract(call);
  if (node.empty()) {
    return;
  }
  wire::Envelope envelope;
  *envelope.mutable_answer_ack()->mutable_ticket() = node.mapped();
  state_->outbox.Send(node.mapped().endpoint(), std::move(envelope));
}

std::size_t JobRouter::pending() const { return state_->Pending(); }

void JobRouter::State::ObtainTickets(std::uint64_t call, std::uint32_t count, TimePoint now) {
  api::ObtainTicketsResponse refusal;
  if (count > static_cast<std::uint32_t>(schema::kMaxTicketsPerCall)) {
    *refusal.mutable_error() = schema::MakeError(api::NOT_RUN, api::INVALID_REQUEST,
                                                 "at most 1000 tickets can be obtained at once");
  } else if (Pending() >= options.max_calls) {
    *refusal.mutable_error() =
        schema::MakeError(api::NOT_RUN, api::OVERLOADED, "the entry has too many calls");
  }
  if (refusal.has_error()) {
    sink.OnTickets(call, refusal);
    return;
  }
  ticket_calls.push_back({call, std::max<std::uint32_t>(count, 1), now + kTicketTimeout});
  ServeTicketCalls(now);
}

void JobRouter::State::ServeTicketCalls(TimePoint now) {
  while (!ticket_calls.empty()) {
    const TicketCall first = ticket_calls.front();
    if (ticket_pool.size() < first.count && now < first.deadline) {
      break;
    }
    ticket_calls.pop_front();
    api::ObtainTicketsResponse response;
    for (api::Ticket& ticket : ticket_pool.Take(first.count, now)) {
      *response.add_tickets() = std::move(ticket);
    }
    if (response.tickets().empty()) {
      *response.mutable_error() =
          schema::MakeError(api::NOT_RUN, api::NO_WORKER, "no coordinator has issued a ticket");
    }
    sink.OnTickets(first.call, response);
  }
  std::uint32_t wanted = 0;
  for (const TicketCall& waiting : ticket_calls) {
    wanted += waiting.count;
  }
  ticket_pool.Refill(wanted, now);
}

void JobRouter::State::StartCall(RoutedCall call, TimePoint now) {
  call.job_bytes = call.job.ByteSizeLong();
  if (RefuseIfNeeded(call)) {
    return;
  }
  job_bytes += call.job_bytes;
  call.current_ticket = call.ticket;
  call.accepted_at = now;
  call.poll_interval = options.silence_timeout;
  call.next_poll = now + call.poll_interval;
  const std::uint64_t number = call.call;
  RoutedCall& routed = calls[number];
  routed = std::move(call);
  AssignRequest(routed);
  monitor.AddCall(routed.current_ticket.endpoint(), number, now);
  SetTimer(routed);
  Send(routed, now);
}

bool JobRouter::State::RefuseIfNeeded(const RoutedCall& call) {
  if (call.ticket.endpoint().empty()) {
    RespondFailed(call.call, call.ticket, api::NOT_RUN, api::TICKET_REQUIRED,
                  "the request has no ticket");
    return true;
  }
  if (Pending() >= options.max_calls || job_bytes + call.job_bytes > kMaxJobBytes) {
    // The ticket may have been submitted before, here or at another entry.
    RespondFailed(call.call, call.ticket, api::MAY_HAVE_RUN, api::OVERLOADED,
                  "the entry has too many calls; repeat the call with the same ticket");
    return true;
  }
  return false;
}

std::size_t JobRouter::State::Pending() const {
  return calls.size() + ticket_calls.size() + job_list_collector.pending();
}

void JobRouter::State::AssignRequest(RoutedCall& call) {
  requests.erase(call.request);
  call.request = next_request++;
  requests[call.request] = call.call;
}

void JobRouter::State::Send(const RoutedCall& call, TimePoint now) {
  wire::Envelope envelope;
  const auto fill = [&call](auto* message) {
    message->set_request(call.request);
    *message->mutable_ticket() = call.current_ticket;
  };
  switch (call.kind) {
    case RoutedCall::Kind::kSubmit: {
      if (call.confirmed) {
        fill(envelope.mutable_wait_job());
        break;
      }
      wire::SubmitJob* submit = envelope.mutable_submit_job();
      fill(submit);
      *submit->mutable_job() = call.job;
      submit->set_wait(call.wait);
      if (call.refusal) {
        *submit->mutable_refusal() = *call.refusal;
      }
      const Duration remaining =
          std::chrono::milliseconds(call.job.deadline_ms()) - (now - call.accepted_at);
      // At least 1 us, because 0 means the whole deadline.
      submit->set_budget_us(static_cast<std::uint64_t>(std::max(remaining, Duration(1)).count()));
      break;
    }
    case RoutedCall::Kind::kWait:
      fill(envelope.mutable_wait_job());
      break;
    case RoutedCall::Kind::kCancel:
      fill(envelope.mutable_cancel_job());
      break;
    case RoutedCall::Kind::kStatus:
      fill(envelope.mutable_status_job());
      break;
  }
  outbox.Send(call.current_ticket.endpoint(), std::move(envelope));
}

void JobRouter::State::Respond(std::uint64_t call, api::JobAnswer answer) {
  const auto it = calls.find(call);
  if (it == calls.end()) {
    return;
  }
  const RoutedCall& routed = it->second;
  const bool is_final = answer.state() == api::COMPLETE || answer.state() == api::FAILED;
  // An answer that is not acknowledged expires at its coordinator.
  if (is_final && routed.WaitsForAnswer() && undelivered.size() < options.max_calls) {
    undelivered[call] = routed.current_ticket;
  }
  *answer.mutable_ticket() = routed.ticket;
  Remove(call);
  api::JobResponse response;
  *response.mutable_answer() = std::move(answer);
  sink.OnJob(call, response);
}

void JobRouter::State::RespondFailed(std::uint64_t call, const api::Ticket& ticket,
                                     api::Verdict verdict, api::Reason reason,
                                     const std::string& message) {
  api::JobResponse response;
  *response.mutable_answer() =
      schema::MakeFailedAnswer(ticket, schema::MakeError(verdict, reason, message));
  // `ticket` may belong to the call that is removed, so the response is made first.
  Remove(call);
  sink.OnJob(call, response);
}

void JobRouter::State::Remove(std::uint64_t call) {
  const auto it = calls.find(call);
  if (it == calls.end()) {
    return;
  }
  job_bytes -= it->second.job_bytes;
  requests.erase(it->second.request);
  requests.erase(it->second.poll_request);
  timers.Erase(call);
  monitor.RemoveCall(it->second.current_ticket.endpoint(), call);
  calls.erase(it);
}

void JobRouter::State::RespondLists(TimePoint now) {
  for (const auto& [call, response] : job_list_collector.TakeDue(now)) {
    sink.OnJobs(call, response);
  }
}

}  // namespace coltsfoottide::core
