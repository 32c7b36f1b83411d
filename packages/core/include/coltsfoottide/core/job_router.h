#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

class CallSink;
class Outbox;

// Settings of a job router.
struct JobRouterOptions {
  // Silence of a coordinator before its calls are sent again over a new
  // connection.
  Duration silence_timeout = std::chrono::seconds(1);
  // Silence after which a coordinator is lost.
  Duration lost_timeout = std::chrono::seconds(3);
  std::size_t max_calls = 20000;
  // Tickets to keep in the pool for each coordinator in use, and the least number
  // in one request.
  std::uint32_t tickets_per_coordinator = 64;
};

// The part of an entry that routes callers' calls to coordinators and gives
// each call exactly one response. Not thread-safe.
class JobRouter {
 public:
  // The outbox and the sink must outlive the router.
  JobRouter(JobRouterOptions options, Outbox& outbox, CallSink& sink, std::uint64_t seed);
  ~JobRouter();
  JobRouter(const JobRouter&) = delete;
  JobRouter& operator=(const JobRouter&) = delete;

  // Each call number is chosen by the caller of the router and is unique.
  void ObtainTickets(std::uint64_t call, const api::ObtainTicketsRequest& request, TimePoint now);
  // With a refusal, the entry does not admit the job: the response is this
  // refusal if the ticket was never used, and the answer of its job otherwise.
  void Submit(std::uint64_t call, const api::SubmitRequest& request,
              const std::optional<api::Error>& refusal, TimePoint now);
  void Wait(std::uint64_t call, const api::WaitRequest& request, TimePoint now);
  void Cancel(std::uint64_t call, const api::CancelRequest& request, TimePoint now);
  void Status(std::uint64_t call, const api::StatusRequest& request, TimePoint now);
  void ListJobs(std::uint64_t call, const api::ListJobsRequest& request, TimePoint now);

  // Drops a call whose caller has disconnected; the job goes on.
  void Abandon(std::uint64_t call);

  // Reports that the response to a call was written to the caller: acknowledges
  // the answer to its coordinator.
  void OnDelivered(std::uint64_t call, TimePoint now);

  // Handles TicketReply, JobReply, JobList and ProbeReply; ignores others.
  void OnMessage(const wire::Envelope& envelope, TimePoint now);

  // Replaces the agents that tickets may be requested from.
  void SetCoordinators(const std::vector<api::WorkerInfo>& agents, TimePoint now);

  // Reports that the connection to an endpoint has closed.
  void OnLinkDown(const std::string& endpoint, TimePoint now);

  void Tick(TimePoint now);
  TimePoint NextWake() const;
  // Number of calls without a response.
  std::size_t pending() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace coltsfoottide::core
