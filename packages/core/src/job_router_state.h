#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>

#include "coltsfoottide/core/call_sink.h"
#include "coltsfoottide/core/job_router.h"
#include "coltsfoottide/core/outbox.h"
#include "coordinator_monitor.h"
#include "deadline_set.h"
#include "job_list_collector.h"
#include "routed_call.h"
#include "ticket_pool.h"

namespace coltsfoottide::core {

// Implementation of the job router. job_router.cc starts and ends calls,
// job_router_replies.cc handles coordinators' replies and their absence.
struct JobRouter::State {
  // An ObtainTickets that the pool could not serve at once.
  struct TicketCall {
    std::uint64_t call = 0;
    std::uint32_t count = 0;
    TimePoint deadline;
  };

  State(JobRouterOptions opts, Outbox& out, CallSink& target, std::uint64_t seed);

  // Start and end of calls.
  void ObtainTickets(std::uint64_t call, std::uint32_t count, TimePoint now);
  // Responds to ticket calls in order, as far as the pool and the time allow.
  void ServeTicketCalls(TimePoint now);
  void StartCall(RoutedCall call, TimePoint now);
  // Responds with a refusal, and returns true, if the call cannot be routed.
  bool RefuseIfNeeded(const RoutedCall& call);
  std::size_t Pending() const;
  // Sends the call's request; a repeated request keeps its number.
  void Send(const RoutedCall& call, TimePoint now);
  // Gives the call a new request number; replies to the old one are ignored.
  void AssignRequest(RoutedCall& call);
  void Respond(std::uint64_t call, api::JobAnswer answer);
  void RespondFailed(std::uint64_t call, const api::Ticket& ticket, api::Verdict verdict,
                     api::Reason reason, const std::string& message);
  void Remove(std::uint64_t call);
  void RespondLists(TimePoint now);

  // Replies and missing replies.
  void OnJobReply(const wire::Envelope& envelope, TimePoint now);
  void OnPollReply(RoutedCall& call, const api::JobAnswer& answer, TimePoint now);
  // Marks the job as received by the coordinator and releases its tasks, which
  // need not be sent again.
  void MarkConfirmed(RoutedCall& call);
  void OnMoved(RoutedCall& call, const api::Ticket& successor, TimePoint now);
  void OnProbeReply(const wire::Envelope& envelope, TimePoint now);
  void OnCallDue(std::uint64_t call, TimePoint now);
  void Poll(RoutedCall& call, TimePoint now);
  // Responds that the coordinator is lost, so that the job may have run.
  void FailAsLost(std::uint64_t call, const std::string& message);
  // Calls FailAsLost for the endpoint's calls whose tickets are from another
  // incarnation.
  void FailCallsOfReplacedProcess(const std::string& endpoint, std::uint64_t incarnation);
  void Perform(const CoordinatorMonitor::Action& action, TimePoint now);
  void ResendCalls(const std::string& endpoint, TimePoint now);
  void Probe(const std::string& endpoint);
  void SetTimer(const RoutedCall& call);

  JobRouterOptions options;
  Outbox& outbox;
  CallSink& sink;
  std::mt19937_64 random;
  std::uint64_t next_request;

  TicketPool ticket_pool;
  JobListCollector job_list_collector;
  CoordinatorMonitor monitor;
  std::deque<TicketCall> ticket_calls;
  std::unordered_map<std::uint64_t, RoutedCall> calls;
  std::size_t job_bytes = 0;  // total size in bytes of the unconfirmed jobs in `calls`
  std::unordered_map<std::uint64_t, std::uint64_t> requests;  // calls by request number
  DeadlineSet<std::uint64_t> timers;
  // Tickets of the answers to acknowledge once they are delivered, by call.
  std::unordered_map<std::uint64_t, api::Ticket> undelivered;
};

}  // namespace coltsfoottide::core
