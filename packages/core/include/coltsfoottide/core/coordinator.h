#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

class Outbox;
class Placement;

// Settings of a coordinator.
struct CoordinatorOptions {
  std::string endpoint;
  std::uint64_t incarnation = 0;
  std::string data_centre;
  std::size_t max_tickets = 65536;
  std::size_t max_jobs = 4096;
  // Bytes of the payloads and results of running jobs; a submission that would
  // exceed it is refused.
  std::size_t max_job_bytes = 64 * 1024 * 1024;
  std::size_t max_answer_bytes = 64 * 1024 * 1024;
  Duration ticket_timeout = std::chrono::minutes(10);
  Duration answer_timeout = std::chrono::seconds(60);
  // Time without a message from a worker with outstanding starts, after which
  // a Resolve for them is sent over a new connection.
  Duration silence_timeout = std::chrono::seconds(1);
  // Time without a message after which a worker that has not answered a Resolve
  // counts as lost. The jobs of its outstanding starts then fail with
  // WORKER_LOST; their tasks may have run.
  Duration lost_timeout = std::chrono::seconds(5);
  // Maximum delay of an acknowledgement, during which further results are added
  // to it. A coordinator and a worker exchange one or two tasks a second, so a
  // delay below a second would send about one acknowledgement per result.
  Duration ack_delay = std::chrono::seconds(5);
};

// Counters of a coordinator; they only grow.
struct CoordinatorCounters {
  std::uint64_t jobs = 0;
  std::uint64_t complete = 0;
  std::uint64_t failed = 0;
  std::uint64_t refused = 0;
  std::uint64_t starts = 0;
  std::uint64_t results = 0;
  // Messages sent and received in addition to one Start and one Result per
  // task.
  std::uint64_t other_messages = 0;
  std::uint64_t resolves = 0;
};

// Owns the jobs whose tickets it has issued: starts each task at most once and
// answers each job as complete or failed. Not thread-safe.
class Coordinator {
 public:
  // The outbox must outlive the coordinator. The seed drives random choices.
  Coordinator(CoordinatorOptions options, std::unique_ptr<Placement> placement, Outbox& outbox,
              std::uint64_t seed);
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  // Handles TicketRequest, SubmitJob, WaitJob, CancelJob, StatusJob,
  // AnswerAck, ListJobs, HelloAck, Refused, ReserveRefused, Offer, Result,
  // Resolved, LoadUpdate and the TicketReply to a successor request; ignores
  // other messages. Replies go to the sender.
  void OnMessage(const wire::Envelope& envelope, TimePoint now);

  // Replaces the list of workers that tasks may be placed on.
  void SetCandidates(const std::vector<api::WorkerInfo>& candidates, TimePoint now);

  // Reports that the connection to an endpoint has closed.
  void OnLinkDown(const std::string& endpoint, TimePoint now);

  // Issues no more tickets. A job submitted with an unused ticket is redirected
  // to a ticket of a successor, chosen from the candidates.
  void BeginLeave(TimePoint now);

  // Handles due deadlines, task timers, silent links, acknowledgements and
  // expiries.
  void Tick(TimePoint now);

  // Time at which Tick must next be called.
  TimePoint NextWake() const;

  // True when no job runs, every answer was acknowledged, expired or evicted,
  // and no ticket move is pending.
  bool Idle() const;
  const CoordinatorCounters& counters() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace coltsfoottide::core
