#include "coltsfoottide/console/job_commands.h"

#include <algorithm>
#include <optional>
#include <variant>

#include "coltsfoottide/console/boot_time.h"
#include "coltsfoottide/console/job_file.h"
#include "coltsfoottide/console/job_output.h"
#include "coltsfoottide/console/progress.h"
#include "coltsfoottide/console/ticket_text.h"
#include "coltsfoottide/schema/json.h"

namespace coltsfoottide::console {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{5000};
// The time limit of a waiting call is the job's deadline, or the requested wait,
// plus this margin.
constexpr milliseconds kAnswerTimeoutMargin{10'000};
// Longest wait requested in one call; longer waits take several calls.
constexpr milliseconds kMaxWait{20'000};

ExitStatus Fail(CommandContext& context, ExitStatus status, const std::string& message) {
  context.err << message << '\n';
  return status;
}

ExitStatus ReportNoAnswer(CommandContext& context, CallOutcome outcome) {
  return outcome == CallOutcome::kNotSent
             ? Fail(context, ExitStatus::kUnreachable,
                    "no entry could be reached; nothing was sent")
             : Fail(context, ExitStatus::kMayHaveRun, "no answer; the request may have run");
}

void PrintResponse(CommandContext& context, const api::JobAnswer& answer) {
  if (context.options.json) {
    context.out << schema::ToJson(answer) << std::endl;
  } else {
    PrintAnswer(answer, context.out);
  }
}

void PrintTicket(CommandContext& context, const api::Ticket& ticket) {
  const std::string text = FormatTicket(ticket);
  if (context.options.json) {
    context.out << R"({"ticket":")" << text << "\"}" << std::endl;
  } else {
    context.out << "ticket: " << text << std::endl;
  }
}

// Reads the ticket argument of wait, status and cancel.
std::variant<api::Ticket, ExitStatus> ParseTicketArgument(CommandContext& context,
                                                          const std::string& text) {
  if (auto ticket = ParseTicket(text)) {
    return *ticket;
  }
  return Fail(context, ExitStatus::kUsage,
              "not a ticket (ENDPOINT/INCARNATION/SEQUENCE/DATA-CENTRE): " + text);
}

std::variant<api::Ticket, ExitStatus> ObtainTicket(CommandContext& context,
                                                   const std::string& service) {
  api::ObtainTicketsRequest request;
  request.set_count(1);
  request.set_service(service);
  api::ObtainTicketsResponse response;
  const auto result = context.client.Call("Caller/ObtainTickets", request, &response, kCallTimeout);
  if (result.outcome != CallOutcome::kAnswered) {
    return Fail(context, ExitStatus::kUnreachable,
                "no entry gave a ticket; nothing of the job was sent");
  }
  if (response.tickets().empty()) {
    return Fail(context, ExitStatus::kNotRun, "no ticket: " + ErrorText(response.error()));
  }
  return response.tickets(0);
}

// Reports kMayHaveRun for a refusal that follows an attempt without an answer:
// that attempt may have been accepted.
ExitStatus StatusAfterRetries(CommandContext& context, const EntryClient::Result& result,
                              const api::JobAnswer& answer) {
  const ExitStatus status = StatusOf(answer);
  if (status == ExitStatus::kNotRun && result.earlier_attempt_lost) {
    return Fail(context, ExitStatus::kMayHaveRun,
                "an earlier attempt got no answer; the job may have run, see status TICKET");
  }
  return status;
}

ExitStatus Submit(CommandContext& context, const api::Ticket& ticket, const api::JobSpec& job) {
  api::SubmitRequest request;
  *request.mutable_ticket() = ticket;
  *request.mutable_job() = job;
  request.set_wait(context.options.wait);
  const milliseconds limit =
      context.options.wait ? milliseconds(job.deadline_ms()) + kAnswerTimeoutMargin : kCallTimeout;
  const auto progress = ShowProgress("the answer");
  api::JobResponse response;
  const auto result = context.client.Call("Caller/Submit", request, &response, limit);
  if (result.outcome != CallOutcome::kAnswered) {
    return ReportNoAnswer(context, result.outcome);
  }
  PrintResponse(context, response.answer());
  return StatusAfterRetries(context, result, response.answer());
}

// Makes a call that takes only a ticket.
template <typename Request>
std::variant<api::JobAnswer, ExitStatus> CallWithTicket(CommandContext& context,
                                                        const std::string& method) {
  auto ticket = ParseTicketArgument(context, context.arguments[0]);
  if (const auto* status = std::get_if<ExitStatus>(&ticket)) {
    return *status;
  }
  Request request;
  *request.mutable_ticket() = std::get<api::Ticket>(ticket);
  api::JobResponse response;
  const auto result = context.client.Call(method, request, &response, kCallTimeout);
  if (result.outcome != CallOutcome::kAnswered) {
    return ReportNoAnswer(context, result.outcome);
  }
  PrintResponse(context, response.answer());
  return response.answer();
}

}  // namespace

ExitStatus RunSubmit(CommandContext& context) {
  auto job = ReadJobFile(context.arguments[0]);
  if (const auto* error = std::get_if<JobFileError>(&job)) {
    return Fail(context, ExitStatus::kUsage, context.arguments[0] + ": " + error->message);
  }
  const auto& spec = std::get<api::JobSpec>(job);
  auto ticket = context.options.ticket.empty()
                    ? ObtainTicket(context, spec.service())
                    : ParseTicketArgument(context, context.options.ticket);
  if (const auto* status = std::get_if<ExitStatus>(&ticket)) {
    return *status;
  }
  PrintTicket(context, std::get<api::Ticket>(ticket));
  return Submit(context, std::get<api::Ticket>(ticket), spec);
}

ExitStatus RunWait(CommandContext& context) {
  auto ticket = ParseTicketArgument(context, context.arguments[0]);
  if (const auto* status = std::get_if<ExitStatus>(&ticket)) {
    return *status;
  }
  const auto progress = ShowProgress("the answer");
  const core::TimePoint give_up_at = BootTime() + context.options.timeout;
  for (;;) {
    const auto remaining = std::chrono::duration_cast<milliseconds>(give_up_at - BootTime());
    api::WaitRequest request;
    *request.mutable_ticket() = std::get<api::Ticket>(ticket);
    request.set_timeout_ms(
        static_cast<std::uint32_t>(std::clamp(remaining, milliseconds(1), kMaxWait).count()));
    api::JobResponse response;
    const auto result =
        context.client.Call("Caller/Wait", request, &response, kMaxWait + kAnswerTimeoutMargin);
    if (result.outcome != CallOutcome::kAnswered) {
      return ReportNoAnswer(context, result.outcome);
    }
    const bool running = response.answer().state() == api::RUNNING;
    if (!running || BootTime() >= give_up_at) {
      PrintResponse(context, response.answer());
      return running ? ExitStatus::kMayHaveRun : StatusOf(response.answer());
    }
  }
}

ExitStatus RunStatus(CommandContext& context) {
  const auto answer = CallWithTicket<api::StatusRequest>(context, "Caller/Status");
  const auto* status = std::get_if<ExitStatus>(&answer);
  return status != nullptr ? *status : StatusOf(std::get<api::JobAnswer>(answer));
}

ExitStatus RunCancel(CommandContext& context) {
  const auto result = CallWithTicket<api::CancelRequest>(context, "Caller/Cancel");
  if (const auto* status = std::get_if<ExitStatus>(&result)) {
    return *status;
  }
  const auto& answer = std::get<api::JobAnswer>(result);
  if (answer.state() == api::COMPLETE) {
    return Fail(context, ExitStatus::kRan, "the job was complete before it could be cancelled");
  }
  return answer.error().reason() == api::CANCELLED ? ExitStatus::kOk : StatusOf(answer);
}

}  // namespace coltsfoottide::console
