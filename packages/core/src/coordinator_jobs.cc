#include <algorithm>
#include <functional>
#include <utility>

#include "coltsfoottide/schema/errors.h"
#include "coltsfoottide/schema/limits.h"
#include "coordinator_state.h"

namespace coltsfoottide::core {
namespace {

using schema::MakeError;

constexpr std::uint32_t kDefaultListLimit = 100;
constexpr std::uint32_t kMaxListLimit = 1000;
// Callers that may wait for one job; further callers get its state at once.
constexpr std::size_t kMaxWaiters = 64;

// Within one process, protobuf serializes equal messages without maps to equal
// bytes.
std::uint64_t HashOf(const api::JobSpec& spec) {
  return std::hash<std::string>()(spec.SerializeAsString());
}

api::JobAnswer RunningAnswer(const Job& job) {
  api::JobAnswer answer;
  *answer.mutable_ticket() = job.ticket;
  answer.set_state(api::RUNNING);
  answer.set_starts(job.starts);
  return answer;
}

}  // namespace

void Coordinator::State::Reply(const CallerId& caller, api::JobAnswer answer) {
  wire::Envelope envelope;
  wire::JobReply* reply = envelope.mutable_job_reply();
  reply->set_request(caller.request);
  *reply->mutable_answer() = std::move(answer);
  outbox.Send(caller.endpoint, std::move(envelope));
}

void Coordinator::State::ReplyError(const CallerId& caller, const api::Ticket& ticket,
                                    api::Error error) {
  Reply(caller, schema::MakeFailedAnswer(ticket, std::move(error)));
}

void Coordinator::State::RefuseTicket(const CallerId& caller, const api::Ticket& ticket,
                                      api::Error error) {
  tickets.Refuse(ticket.sequence(), error);
  ++counters.refused;
  ReplyError(caller, ticket, std::move(error));
}

void Coordinator::State::OnTicketRequest(const std::string& from,
                                         const wire::TicketRequest& request, TimePoint now) {
  wire::Envelope envelope;
  wire::TicketReply* reply = envelope.mutable_ticket_reply();
  reply->set_request(request.request());
  if (leaving) {
    *reply->mutable_error() =
        MakeError(api::NOT_RUN, api::COORDINATOR_LEAVING, "the coordinator is leaving");
  } else {
    const std::size_t count =
        std::clamp<std::size_t>(request.count(), 1, schema::kMaxTicketsPerCall);
    for (const std::uint64_t sequence : tickets.Issue(count, now)) {
      api::Ticket* ticket = reply->add_tickets();
      ticket->set_endpoint(options.endpoint);
      ticket->set_incarnation(options.incarnation);
      ticket->set_sequence(sequence);
      ticket->set_data_centre(options.data_centre);
    }
    if (reply->tickets_size() == 0) {
      *reply->mutable_error() =
          MakeError(api::NOT_RUN, api::OVERLOADED, "too many tickets are outstanding");
    }
  }
  outbox.Send(from, std::move(envelope));
}

bool Coordinator::State::CheckOwnTicket(const CallerId& caller, const api::Ticket& ticket) {
  if (ticket.incarnation() == options.incarnation) {
    return true;
  }
  ReplyError(caller, ticket,
             MakeError(api::MAY_HAVE_RUN, api::COORDINATOR_LOST,
                       "the coordinator that issued the ticket is gone"));
  return false;
}

void Coordinator::State::ReplyWithoutJob(const CallerId& caller, const api::Ticket& ticket) {
  const std::uint64_t sequence = ticket.sequence();
  switch (tickets.StateOf(sequence)) {
    case TicketWindow::State::kNeverIssued:
      return ReplyError(
          caller, ticket,
          MakeError(api::NOT_RUN, api::TICKET_UNKNOWN, "the ticket was never issued"));
    case TicketWindow::State::kRefused:
      return ReplyError(caller, ticket, *tickets.Refusal(sequence));
    case TicketWindow::State::kMoved: {
      wire::Envelope envelope;
      envelope.mutable_job_reply()->set_request(caller.request);
      *envelope.mutable_job_reply()->mutable_moved_to() = *tickets.MovedTo(sequence);
      return outbox.Send(caller.endpoint, std::move(envelope));
    }
    case TicketWindow::State::kIssued:
      return ReplyError(caller, ticket,
                        MakeError(api::MAY_HAVE_RUN, api::TICKET_UNKNOWN,
                                  "no job has been submitted with the ticket yet"));
    case TicketWindow::State::kUsed:
    case TicketWindow::State::kRetired:
      return ReplyError(caller, ticket,
                        MakeError(api::MAY_HAVE_RUN, api::TICKET_RETIRED,
                                  "the ticket has expired or its answer is no longer kept"));
  }
}

void Coordinator::State::ReplyReused(const CallerId& caller, const api::Ticket& ticket,
                                     api::Verdict verdict) {
  ReplyError(caller, ticket,
             MakeError(verdict, api::TICKET_REUSED, "the ticket was used for another job"));
}

void Coordinator::State::AttachToJob(const CallerId& caller, Job& job, bool wait) {
  const auto& waiters = job.waiters;
  if (!wait || (waiters.size() >= kMaxWaiters &&
                std::find(waiters.begin(), waiters.end(), caller) == waiters.end())) {
    return Reply(caller, RunningAnswer(job));
  }
  if (std::find(waiters.begin(), waiters.end(), caller) == waiters.end()) {
    job.waiters.push_back(caller);
  }
}

void Coordinator::State::OnSubmit(const std::string& from, const wire::SubmitJob& submit,
                                  TimePoint now) {
  const CallerId caller{from, submit.request()};
  const api::Ticket& ticket = submit.ticket();
  const std::uint64_t sequence = ticket.sequence();
  if (!CheckOwnTicket(caller, ticket)) {
    return;
  }
  if (Job* job = FindJob(sequence)) {
    if (job->body_hash != HashOf(submit.job())) {
      // The first job may still start tasks, so NOT_RUN would be wrong.
      return ReplyReused(caller, ticket, job->has_run ? api::RAN : api::MAY_HAVE_RUN);
    }
    return AttachToJob(caller, *job, submit.wait());
  }
  if (const AnswerStore::Entry* ended = answers.Find(sequence)) {
    if (ended->body_hash != HashOf(submit.job())) {
      const bool complete = ended->answer.state() == api::COMPLETE;
      return ReplyReused(caller, ticket, complete ? api::RAN : ended->answer.error().verdict());
    }
    return Reply(caller, ended->answer);
  }
  if (tickets.StateOf(sequence) != TicketWindow::State::kIssued) {
    return ReplyWithoutJob(caller, ticket);
  }
  if (submit.has_refusal()) {
    return RefuseTicket(caller, ticket, submit.refusal());
  }
  if (leaving) {
    return MoveTicket(caller, ticket, now);
  }
  const std::uint64_t body_hash = HashOf(submit.job());
  Duration budget = std::chrono::milliseconds(submit.job().deadline_ms());
  if (submit.budget_us() > 0 && submit.budget_us() < static_cast<std::uint64_t>(budget.count())) {
    budget = std::chrono::microseconds(submit.budget_us());
  }
  if (auto error = CheckAdmission(submit.job(), now + budget, now)) {
    return RefuseTicket(caller, ticket, std::move(*error));
  }
  tickets.Use(sequence);
  Job& job = Accept(submit, body_hash, now + budget, now);
  AttachToJob(caller, job, submit.wait());
}

void Coordinator::State::OnWait(const std::string& from, const wire::WaitJob& wait) {
  const CallerId caller{from, wait.request()};
  if (!CheckOwnTicket(caller, wait.ticket())) {
    return;
  }
  if (Job* job = FindJob(wait.ticket().sequence())) {
    return AttachToJob(caller, *job, true);
  }
  ReplyEnded(caller, wait.ticket());
}

void Coordinator::State::OnStatus(const std::string& from, const wire::StatusJob& status) {
  const CallerId caller{from, status.request()};
  if (!CheckOwnTicket(caller, status.ticket())) {
    return;
  }
  if (Job* job = FindJob(status.ticket().sequence())) {
    return AttachToJob(caller, *job, false);
  }
  ReplyEnded(caller, status.ticket());
}

void Coordinator::State::ReplyEnded(const CallerId& caller, const api::Ticket& ticket) {
  if (const AnswerStore::Entry* ended = answers.Find(ticket.sequence())) {
    return Reply(caller, ended->answer);
  }
  ReplyWithoutJob(caller, ticket);
}

void Coordinator::State::OnCancel(const std::string& from, const wire::CancelJob& cancel,
                                  TimePoint now) {
  const CallerId caller{from, cancel.request()};
  const api::Ticket& ticket = cancel.ticket();
  if (!CheckOwnTicket(caller, ticket)) {
    return;
  }
  if (Job* job = FindJob(ticket.sequence())) {
    const std::uint64_t sequence = ticket.sequence();
    FailJob(*job, job->Verdict(), api::CANCELLED, "the job was cancelled", now);
    if (const AnswerStore::Entry* ended = answers.Find(sequence)) {
      Reply(caller, ended->answer);
    }
    return;
  }
  if (tickets.StateOf(ticket.sequence()) == TicketWindow::State::kIssued) {
    RefuseTicket(caller, ticket,
                 MakeError(api::NOT_RUN, api::CANCELLED, "the ticket was cancelled"));
    return ServePendingMoves();
  }
  ReplyEnded(caller, ticket);
}

void Coordinator::State::OnAnswerAck(const wire::AnswerAck& ack) {
  const api::Ticket& ticket = ack.ticket();
  if (ticket.incarnation() == options.incarnation) {
    answers.Acknowledge(ticket.sequence());
  }
}

void Coordinator::State::OnListJobs(const std::string& from, const wire::ListJobs& list,
                                    TimePoint now) {
  wire::Envelope envelope;
  wire::JobList* reply = envelope.mutable_job_list();
  reply->set_request(list.request());
  const std::uint32_t limit =
      list.limit() == 0 ? kDefaultListLimit : std::min(list.limit(), kMaxListLimit);
  for (const auto& [sequence, job] : jobs) {
    if (static_cast<std::uint32_t>(reply->jobs_size()) >= limit) {
      break;
    }
    api::JobInfo* info = reply->add_jobs();
    *info->mutable_ticket() = job->ticket;
    info->set_team(job->spec.team());
    info->set_job_class(job->spec.job_class());
    info->set_state(api::RUNNING);
    info->set_tasks(static_cast<std::uint32_t>(job->tasks.size()));
    info->set_done(job->done);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - job->accepted);
    info->set_age_ms(static_cast<std::uint64_t>(age.count()));
  }
  outbox.Send(from, std::move(envelope));
}

}  // namespace coltsfoottide::core
