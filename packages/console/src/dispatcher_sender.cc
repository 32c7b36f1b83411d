#include "coltsfoottide/console/dispatcher_sender.h"

#include <QTimer>
#include <algorithm>
#include <utility>

#include "coltsfoottide/console/boot_time.h"
#include "coltsfoottide/console/call_reply.h"
#include "coltsfoottide/console/ticket_text.h"

namespace coltsfoottide::console {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{50};
// Time after the deadline until which answers are awaited and retries made.
constexpr std::chrono::milliseconds kAnswerTimeoutMargin{5000};

}  // namespace

DispatcherSender::DispatcherSender(http::Client& client, std::vector<std::string> entries,
                                   TicketPool& tickets, HistoryFile& history, std::uint64_t seed)
    : client_(client),
      entries_(std::move(entries)),
      tickets_(tickets),
      history_(history),
      seed_(seed) {}

void DispatcherSender::Send(GeneratedJob job, JobOutcome outcome, Done done) {
  auto submission = std::make_shared<Submission>();
  submission->job = std::move(job);
  submission->outcome = std::move(outcome);
  submission->done = std::move(done);
  tickets_.Take([this, submission](const api::Ticket& ticket) { OnTicket(submission, ticket); });
}

void DispatcherSender::OnTicket(const std::shared_ptr<Submission>& submission,
                                const api::Ticket& ticket) {
  submission->ticket = ticket;
  submission->outcome.ticket = FormatTicket(ticket);
  submission->outcome.sent_at = BootTime();
  submission->give_up_at =
      submission->outcome.sent_at + submission->outcome.deadline + kAnswerTimeoutMargin;
  api::SubmitRequest request;
  *request.mutable_ticket() = ticket;
  *request.mutable_job() = submission->job.job;
  request.set_wait(true);
  submission->body = request.SerializeAsString();
  SendAttempt(submission);
}

void DispatcherSender::SendAttempt(const std::shared_ptr<Submission>& submission) {
  const core::TimePoint now = BootTime();
  const std::string& entry = entries_[next_entry_++ % entries_.size()];
  ++submission->outcome.attempts;
  history_.AddSubmit(submission->outcome, submission->job.job, entry, now);
  const auto limit = std::chrono::ceil<std::chrono::milliseconds>(submission->give_up_at - now);
  client_.Post(
      entry + "/v1/Caller/Submit", {{"Content-Type", "application/x-protobuf"}}, submission->body,
      std::max(limit, std::chrono::milliseconds(1)),
      [this, submission](const http::ClientResponse& reply) { OnReply(submission, reply); });
}

void DispatcherSender::OnReply(const std::shared_ptr<Submission>& submission,
                               const http::ClientResponse& reply) {
  api::JobResponse response;
  const CallOutcome call_outcome = ParseReply(reply, &response);
  submission->outcome.maybe_sent |= call_outcome != CallOutcome::kNotSent;
  if (call_outcome == CallOutcome::kAnswered && response.answer().state() != api::RUNNING) {
    Finish(submission, response.answer());
    return;
  }
  submission->outcome.message =
      call_outcome == CallOutcome::kAnswered ? "still running" : DescribeFailure(reply);
  RetryOrGiveUp(submission);
}

void DispatcherSender::RetryOrGiveUp(const std::shared_ptr<Submission>& submission) {
  const core::TimePoint now = BootTime();
  if (now + kRetryDelay < submission->give_up_at) {
    QTimer::singleShot(kRetryDelay, this, [this, submission] { SendAttempt(submission); });
    return;
  }
  submission->outcome.ended_at = now;
  submission->done(submission->outcome);
}

void DispatcherSender::Finish(const std::shared_ptr<Submission>& submission,
                              const api::JobAnswer& answer) {
  JobOutcome& outcome = submission->outcome;
  outcome.ended_at = BootTime();
  outcome.answered = true;
  outcome.state = answer.state();
  outcome.verdict = answer.state() == api::COMPLETE ? api::RAN : answer.error().verdict();
  outcome.reason = answer.error().reason();
  outcome.message = answer.error().message();
  outcome.starts = answer.starts();
  outcome.results_ok = !outcome.complete() || ResultsMatch(submission->job, answer);
  if (outcome.reason == api::COORDINATOR_LOST) {
    tickets_.Discard(submission->ticket);
  }
  submission->done(outcome);
}

bool DispatcherSender::ResultsMatch(const GeneratedJob& job, const api::JobAnswer& answer) const {
  std::vector<bool> seen(static_cast<std::size_t>(job.job.tasks_size()));
  for (const api::TaskResult& result : answer.results()) {
    if (result.index() >= seen.size() || seen[result.index()] ||
        result.output() != ExpectedResult(seed_, job.number, result.index())) {
      return false;
    }
    seen[result.index()] = true;
  }
  return std::all_of(seen.begin(), seen.end(), [](bool it) { return it; });
}

}  // namespace coltsfoottide::console
