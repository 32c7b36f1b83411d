#pragma once

#include <QObject>
#include <memory>
#include <string>
#include <vector>

#include "coltsfoottide/console/history_file.h"
#include "coltsfoottide/console/job_sender.h"
#include "coltsfoottide/console/ticket_pool.h"
#include "coltsfoottide/http/client.h"

namespace coltsfoottide::console {

// Submits jobs through the entries round robin. An attempt without a final
// answer is retried with the same ticket through the next entry, until the job's
// deadline plus 5 s after the first attempt.
class DispatcherSender final : public JobSender, private QObject {
 public:
  DispatcherSender(http::Client& client, std::vector<std::string> entries, TicketPool& tickets,
                   HistoryFile& history, std::uint64_t seed);

  void Send(GeneratedJob job, JobOutcome outcome, Done done) override;

 private:
  // A job that was passed to Send and has not ended.
  struct Submission {
    GeneratedJob job;
    JobOutcome outcome;
    Done done;
    api::Ticket ticket;
    std::string body;
    // No attempt starts after this time; it also limits the wait for an answer.
    core::TimePoint give_up_at;
  };

  void OnTicket(const std::shared_ptr<Submission>& submission, const api::Ticket& ticket);
  void SendAttempt(const std::shared_ptr<Submission>& submission);
  void OnReply(const std::shared_ptr<Submission>& submission, const http::ClientResponse& reply);
  void RetryOrGiveUp(const std::shared_ptr<Submission>& submission);
  void Finish(const std::shared_ptr<Submission>& submission, const api::JobAnswer& answer);
  bool ResultsMatch(const GeneratedJob& job, const api::JobAnswer& answer) const;

  http::Client& client_;
  std::vector<std::string> entries_;
  TicketPool& tickets_;
  HistoryFile& history_;
  std::uint64_t seed_;
  std::size_t next_entry_ = 0;
};

}  // namespace coltsfoottide::console
