#include <algorithm>
#include <utility>
#include <vector>

#include "coltsfoottide/schema/errors.h"
#include "job_router_state.h"

namespace coltsfoottide::core {
namespace {

constexpr int kMaxMoves = 4;
// Polls only find replies that were lost, so their interval grows up to this.
constexpr Duration kMaxPollInterval = std::chrono::seconds(8);

// Whether the reply answers this ticket; a caller gets the answer of its own
// ticket only.
bool AnswersTicket(const wire::JobReply& reply, const api::Ticket& ticket) {
  const api::Ticket& answered = reply.answer().ticket();
  return !reply.answer().has_ticket() || (answered.sequence() == ticket.sequence() &&
                                          answered.incarnation() == ticket.incarnation());
}

}  // namespace

void JobRouter::OnMessage(const wire::Envelope& envelope, TimePoint now) {
  switch (envelope.body_case()) {
    case wire::Envelope::kTicketReply:
      if (state_->ticket_pool.OnReply(envelope, now)) {
        state_->ServeTicketCalls(now);
      }
      break;
    case wire::Envelope::kJobReply:
      state_->OnJobReply(envelope, now);
      break;
    case wire::Envelope::kJobList:
      state_->job_list_collector.OnList(envelope.job_list());
      state_->RespondLists(now);
      break;
    case wire::Envelope::kProbeReply:
      state_->OnProbeReply(envelope, now);
      break;
    default:
      break;
  }
}

void JobRouter::SetCoordinators(const std::vector<api::WorkerInfo>& agents, TimePoint now) {
  state_->ticket_pool.SetCoordinators(agents);
  state_->ServeTicketCalls(now);
}

void JobRouter::OnLinkDown(const std::string& endpoint, TimePoint now) {
  state_->ticket_pool.OnLinkDown(endpoint, now);
  if (state_->monitor.OnLinkDown(endpoint, now)) {
    state_->ResendCalls(endpoint, now);
  }
  state_->ServeTicketCalls(now);
}

void JobRouter::Tick(TimePoint now) {
  for (const auto& action : state_->monitor.Tick(now)) {
    state_->Perform(action, now);
  }
  for (const std::uint64_t call : state_->timers.TakeDue(now)) {
    state_->OnCallDue(call, now);
  }
  state_->ticket_pool.Tick(now);
  state_->ServeTicketCalls(now);
  state_->RespondLists(now);
}

TimePoint JobRouter::NextWake() const {
  TimePoint wake = std::min(state_->monitor.NextWake(), state_->timers.Earliest());
  if (!state_->ticket_calls.empty()) {
    wake = std::min(wake, state_->ticket_calls.front().deadline);
  }
  return std::min({wake, state_->ticket_pool.NextWake(), state_->job_list_collector.NextWake()});
}

void JobRouter::State::OnJobReply(const wire::Envelope& envelope, TimePoint now) {
  const wire::JobReply& reply = envelope.job_reply();
  const auto found = requests.find(reply.request());
  if (found == requests.end()) {
    return;
  }
  RoutedCall& call = calls.at(found->second);
  if (envelope.from() != call.current_ticket.endpoint() ||
      !AnswersTicket(reply, call.current_ticket)) {
    return;
  }
  monitor.OnReply(envelope.from(), now);
  if (envelope.incarnation() != call.current_ticket.incarnation()) {
    FailCallsOfReplacedProcess(envelope.from(), envelope.incarnation());
  } else if (reply.has_moved_to()) {
    OnMoved(call, reply.moved_to(), now);
  } else if (reply.request() == call.poll_request) {
    OnPollReply(call, reply.answer(), now);
  } else if (reply.answer().state() == api::RUNNING && call.WaitsForAnswer()) {
    // The answer follows under the same request number.
    MarkConfirmed(call);
  } else {
    Respond(call.call, reply.answer());
  }
}

void JobRouter::State::OnPollReply(RoutedCall& call, const api::JobAnswer& answer, TimePoint now) {
  requests.erase(call.poll_request);
  call.poll_request = 0;
  if (answer.state() != api::RUNNING) {
    // The request or its reply was lost. Sent again, it attaches to the same
    // job, or submits it if it never arrived.
    Send(call, now);
    return;
  }
  MarkConfirmed(call);
  if (!call.WaitsForAnswer()) {
    Respond(call.call, answer);
  }
}

void JobRouter::State::MarkConfirmed(RoutedCall& call) {
  call.confirmed = true;
  job_bytes -= std::exchange(call.job_bytes, 0);
  call.job.clear_tasks();
}

void JobRouter::State::OnMoved(RoutedCall& call, const api::Ticket& successor, TimePoint now) {
  if (++call.moves > kMaxMoves || successor.endpoint().empty()) {
    RespondFailed(call.call, call.ticket, api::MAY_HAVE_RUN, api::COORDINATOR_LEAVING,
                  "the ticket was moved too often");
    return;
  }
  monitor.RemoveCall(call.current_ticket.endpoint(), call.call);
  call.current_ticket = successor;
  monitor.AddCall(successor.endpoint(), call.call, now);
  requests.erase(call.poll_request);
  call.poll_request = 0;
  AssignRequest(call);
  Send(call, now);
}

void JobRouter::State::OnProbeReply(const wire::Envelope& envelope, TimePoint now) {
  const std::uint64_t* probe = monitor.ProbeRequest(envelope.from());
  if (probe == nullptr || *probe == 0 || *probe != envelope.probe_reply().request()) {
    return;
  }
  monitor.OnReply(envelope.from(), now);
  FailCallsOfReplacedProcess(envelope.from(), envelope.incarnation());
}

void JobRouter::State::FailCallsOfReplacedProcess(const std::string& endpoint,
                                                  std::uint64_t incarnation) {
  for (const std::uint64_t number : monitor.Calls(endpoint)) {
    const auto it = calls.find(number);
    if (it != calls.end() && it->second.current_ticket.incarnation() != incarnation) {
      FailAsLost(number, "another process runs at the coordinator's endpoint");
    }
  }
}

void JobRouter::State::OnCallDue(std::uint64_t number, TimePoint now) {
  const auto it = calls.find(number);
  if (it == calls.end()) {
    return;
  }
  RoutedCall& call = it->second;
  if (now < call.response_deadline) {
    Poll(call, now);
    SetTimer(call);
  } else if (call.kind == RoutedCall::Kind::kWait) {
    api::JobAnswer running;
    running.set_state(api::RUNNING);
    Respond(number, std::move(running));
  } else if (call.kind != RoutedCall::Kind::kSubmit ||
             monitor.IsSilent(call.current_ticket.endpoint())) {
    FailAsLost(number, "the coordinator does not answer");
  } else {
    RespondFailed(number, call.ticket, api::MAY_HAVE_RUN, api::DEADLINE_EXCEEDED,
                  "the coordinator did not answer by the deadline");
  }
}

void JobRouter::State::Poll(RoutedCall& call, TimePoint now) {
  if (call.kind == RoutedCall::Kind::kCancel || call.kind == RoutedCall::Kind::kStatus) {
    call.next_poll = now + options.silence_timeout;
    Send(call, now);
    return;
  }
  call.poll_interval = std::min(2 * call.poll_interval, kMaxPollInterval);
  call.next_poll = now + call.poll_interval;
  requests.erase(call.poll_request);
  call.poll_request = next_request++;
  requests[call.poll_request] = call.call;
  wire::Envelope envelope;
  envelope.mutable_status_job()->set_request(call.poll_request);
  *envelope.mutable_status_job()->mutable_ticket() = call.current_ticket;
  outbox.Send(call.current_ticket.endpoint(), std::move(envelope));
}

void JobRouter::State::FailAsLost(std::uint64_t call, const std::string& message) {
  const auto it = calls.find(call);
  if (it != calls.end()) {
    RespondFailed(call, it->second.ticket, api::MAY_HAVE_RUN, api::COORDINATOR_LOST, message);
  }
}

void JobRouter::State::Perform(const CoordinatorMonitor::Action& action, TimePoint now) {
  switch (action.step) {
    case CoordinatorMonitor::Step::kProbe:
      Probe(action.endpoint);
      break;
    case CoordinatorMonitor::Step::kResend:
      outbox.ResetLink(action.endpoint);
      ResendCalls(action.endpoint, now);
      break;
    case CoordinatorMonitor::Step::kLost:
      for (const std::uint64_t call : monitor.Calls(action.endpoint)) {
        FailAsLost(call, "the coordinator does not answer");
      }
      break;
  }
}

void JobRouter::State::ResendCalls(const std::string& endpoint, TimePoint now) {
  for (const std::uint64_t number : monitor.Calls(endpoint)) {
    const auto it = calls.find(number);
    if (it != calls.end()) {
      Send(it->second, now);
    }
  }
  Probe(endpoint);
}

void JobRouter::State::Probe(const std::string& endpoint) {
  std::uint64_t* probe = monitor.ProbeRequest(endpoint);
  if (probe == nullptr) {
    return;
  }
  // A probe without a reply is repeated with its number, so that the
  // coordinator can tell that the reply was lost.
  *probe = *probe == 0 ? next_request++ : *probe;
  wire::Envelope envelope;
  envelope.mutable_probe()->set_request(*probe);
  outbox.Send(endpoint, std::move(envelope));
}

void JobRouter::State::SetTimer(const RoutedCall& call) {
  timers.Set(call.call, std::min(call.response_deadline, call.next_poll));
}

}  // namespace coltsfoottide::core
