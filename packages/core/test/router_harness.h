#pragma once

#include <algorithm>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/core/call_sink.h"
#include "coltsfoottide/core/job_router.h"
#include "worker_harness.h"

namespace coltsfoottide::core {

class RecordingSink : public CallSink {
 public:
  void OnTickets(std::uint64_t call, const api::ObtainTicketsResponse& response) override {
    tickets.emplace_back(call, response);
  }
  void OnJob(std::uint64_t call, const api::JobResponse& response) override {
    jobs.emplace_back(call, response);
  }
  void OnJobs(std::uint64_t call, const api::ListJobsResponse& response) override {
    lists.emplace_back(call, response);
  }

  std::vector<std::pair<std::uint64_t, api::ObtainTicketsResponse>> tickets;
  std::vector<std::pair<std::uint64_t, api::JobResponse>> jobs;
  std::vector<std::pair<std::uint64_t, api::ListJobsResponse>> lists;
};

// A router, and coordinators that are identified by their incarnation.
struct RouterHarness {
  RouterHarness() : router(JobRouterOptions(), outbox, sink, 7) {}

  static std::string EndpointOf(std::uint64_t coordinator) {
    return WorkerHarness::EndpointOf(coordinator);
  }

  static api::Ticket MakeTicket(std::uint64_t coordinator, std::uint64_t sequence) {
    api::Ticket ticket;
    ticket.set_endpoint(EndpointOf(coordinator));
    ticket.set_incarnation(coordinator);
    ticket.set_sequence(sequence);
    return ticket;
  }

  void SetCoordinators(const std::vector<std::uint64_t>& coordinators) {
    std::vector<api::WorkerInfo> agents;
    for (const std::uint64_t coordinator : coordinators) {
      agents.emplace_back().set_endpoint(EndpointOf(coordinator));
      agents.back().set_incarnation(coordinator);
    }
    router.SetCoordinators(agents, now);
  }

  void Submit(std::uint64_t call, const api::Ticket& ticket, bool wait = true) {
    api::SubmitRequest request;
    *request.mutable_ticket() = ticket;
    request.mutable_job()->set_deadline_ms(60'000);
    request.set_wait(wait);
    router.Submit(call, request, std::nullopt, now);
  }

  void ObtainTickets(std::uint64_t call, std::uint32_t count) {
    api::ObtainTicketsRequest request;
    request.set_count(count);
    router.ObtainTickets(call, request, now);
  }

  void Deliver(std::uint64_t coordinator, wire::Envelope envelope) {
    envelope.set_from(EndpointOf(coordinator));
    envelope.set_incarnation(coordinator);
    router.OnMessage(envelope, now);
  }

  static wire::Envelope MakeReply(std::uint64_t request, api::JobState state) {
    wire::Envelope envelope;
    envelope.mutable_job_reply()->set_request(request);
    envelope.mutable_job_reply()->mutable_answer()->set_state(state);
    return envelope;
  }

  void Reply(std::uint64_t coordinator, std::uint64_t request, api::JobState state) {
    Deliver(coordinator, MakeReply(request, state));
  }

  void Move(std::uint64_t coordinator, std::uint64_t request, const api::Ticket& successor) {
    wire::Envelope envelope;
    envelope.mutable_job_reply()->set_request(request);
    *envelope.mutable_job_reply()->mutable_moved_to() = successor;
    Deliver(coordinator, envelope);
  }

  // Answers the ticket requests sent so far.
  void IssueTickets() {
    for (const auto& [endpoint, envelope] : std::vector(outbox.sent)) {
      const std::uint64_t coordinator = std::stoull(endpoint.substr(std::string("10.0.0.").size()));
      wire::Envelope reply;
      reply.mutable_ticket_reply()->set_request(envelope.ticket_request().request());
      for (std::uint32_t n = 0; n < envelope.ticket_request().count(); ++n) {
        *reply.mutable_ticket_reply()->add_tickets() = MakeTicket(coordinator, n);
      }
      Deliver(coordinator, reply);
    }
  }

  // Advances time by `duration` with a Tick at each wake-up. If
  // `answer_liveness_requests` is set, coordinator 1 answers probes and status
  // requests.
  void Run(Duration duration) {
    const TimePoint end = now + duration;
    for (int wakes = 0; router.NextWake() <= end; ++wakes) {
      if (wakes > kMaxWakes) {
        throw std::runtime_error("the router wakes without end");
      }
      now = std::max(now, router.NextWake());
      router.Tick(now);
      AnswerLivenessRequests();
    }
    now = end;
  }

  // Advances time by `duration` while coordinator 1 answers probes and nothing
  // else.
  void RunAnsweringProbes(Duration duration) {
    const TimePoint end = now + duration;
    while (now < end) {
      Run(std::chrono::milliseconds(100));
      const wire::Envelope probe = outbox.Last(&wire::Envelope::has_probe);
      wire::Envelope reply;
      reply.mutable_probe_reply()->set_request(probe.probe().request());
      Deliver(1, reply);
    }
  }

  void AnswerLivenessRequests() {
    for (; answer_liveness_requests && checked_messages < outbox.sent.size(); ++checked_messages) {
      const wire::Envelope sent = outbox.sent[checked_messages].second;
      wire::Envelope reply;
      if (sent.has_probe()) {
        reply.mutable_probe_reply()->set_request(sent.probe().request());
        Deliver(1, reply);
      } else if (sent.has_status_job()) {
        Reply(1, sent.status_job().request(), api::RUNNING);
      }
    }
  }

  const wire::Envelope& last() const { return outbox.sent.back().second; }

  static constexpr int kMaxWakes = 10'000;

  TimePoint now{std::chrono::seconds(100)};
  WorkerRecordingOutbox outbox;
  RecordingSink sink;
  JobRouter router;
  bool answer_liveness_requests = false;
  // Number of sent messages that AnswerLivenessRequests has looked at.
  std::size_t checked_messages = 0;
};

}  // namespace coltsfoottide::core
