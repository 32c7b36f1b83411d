#include "coltsfoottide/console/direct_sender.h"

#include <fmt/format.h>

#include <map>
#include <utility>

#include "coltsfoottide/console/boot_time.h"

namespace coltsfoottide::console {
namespace {

constexpr int kHttpOk = 200;
// The time limit of a call is the job's deadline plus this margin.
constexpr std::chrono::milliseconds kAnswerTimeoutMargin{5000};

// Completes the outcome of a job from the reply to its direct call.
JobOutcome WithReply(JobOutcome outcome, const http::ClientResponse& reply,
                     const std::string& expected) {
  outcome.ended_at = BootTime();
  outcome.answered = reply.status != 0;
  outcome.maybe_sent = outcome.answered || reply.delivery == http::Delivery::kMaybeSent;
  if (!outcome.answered) {
    outcome.message = reply.error;
    return outcome;
  }
  const bool ok = reply.status == kHttpOk;
  outcome.state = ok ? api::COMPLETE : api::FAILED;
  outcome.verdict = reply.headers.contains("x-not-run") ? api::NOT_RUN : api::RAN;
  outcome.reason = ok ? api::REASON_UNSPECIFIED
                      : (outcome.verdict == api::NOT_RUN ? api::OVERLOADED : api::TASK_FAILED);
  outcome.starts = outcome.verdict == api::NOT_RUN ? 0 : 1;
  outcome.results_ok = !ok || reply.body == expected;
  return outcome;
}

}  // namespace

DirectSender::DirectSender(http::Client& client, std::vector<std::string> urls,
                           HistoryFile& history, std::uint64_t seed)
    : client_(client), urls_(std::move(urls)), history_(history), seed_(seed) {}

void DirectSender::Send(GeneratedJob job, JobOutcome outcome, Done done) {
  const std::string& url = urls_[next_url_++ % urls_.size()];
  const api::TaskSpec& task = job.job.tasks(0);
  const std::map<std::string, std::string> headers = {
      {"Content-Type", "application/json"},
      {"X-Start-Id", fmt::format("direct-{}-{}", seed_, job.number)},
      {"X-Task-Kind", task.kind()},
      {"X-Idempotent", job.job.idempotent() ? "1" : "0"}};
  outcome.sent_at = BootTime();
  outcome.attempts = 1;
  history_.AddSubmit(outcome, job.job, url, outcome.sent_at);
  const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(outcome.deadline) +
                     kAnswerTimeoutMargin;
  client_.Post(
      url + "/run", headers, task.payload(), limit,
      [outcome = std::move(outcome), done = std::move(done),
       expected = ExpectedResult(seed_, job.number, 0)](const http::ClientResponse& reply) {
        done(WithReply(outcome, reply, expected));
      });
}

}  // namespace coltsfoottide::console
