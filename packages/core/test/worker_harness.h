#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/core/backend_port.h"
#include "coltsfoottide/core/outbox.h"
#include "coltsfoottide/core/start_permission.h"
#include "coltsfoottide/core/worker.h"

namespace coltsfoottide::core {

// Records the messages that the worker sends.
class WorkerRecordingOutbox : public Outbox {
 public:
  void Send(const std::string& endpoint, wire::Envelope envelope) override {
    sent.emplace_back(endpoint, std::move(envelope));
  }
  void ResetLink(const std::string& endpoint) override { resets.push_back(endpoint); }

  // Returns the last message of a kind, or an empty one.
  wire::Envelope Last(bool (wire::Envelope::*has)() const) const {
    wire::Envelope last;
    for (const auto& [endpoint, envelope] : sent) {
      last = (envelope.*has)() ? envelope : last;
    }
    return last;
  }

  long Count(bool (wire::Envelope::*has)() const) const {
    return std::ranges::count_if(sent, [&](const auto& item) { return (item.second.*has)(); });
  }

  std::vector<std::pair<std::string, wire::Envelope>> sent;
  std::vector<std::string> resets;
};

// Records the tasks that the worker runs.
class RecordingBackend : public BackendPort {
 public:
  void Run(const wire::Start& start, Duration time_limit) override {
    runs.push_back(start);
    limits.push_back(time_limit);
  }

  std::vector<wire::Start> runs;
  std::vector<Duration> limits;
};

// A worker with a valid permission and a serving backend server, after its
// slow start. Coordinators are identified by their incarnation.
struct WorkerHarness {
  explicit WorkerHarness(WorkerOptions opts = {}) : worker(opts, permission, outbox, backend, 7) {
    worker.OnBackendHealth(true, opts.slots, now);
    Renew();
    worker.Tick(now);
    Advance(opts.slow_start);
  }

  void Renew() { permission.OnEvidence(now, 0); }

  // Advances the time and renews the permission.
  void Advance(Duration by) {
    now += by;
    Renew();
    worker.Tick(now);
  }

  static std::string EndpointOf(std::uint64_t coordinator) {
    return "10.0.0." + std::to_string(coordinator) + ":7000";
  }

  void Receive(std::uint64_t coordinator, wire::Envelope envelope) {
    envelope.set_from(EndpointOf(coordinator));
    envelope.set_incarnation(coordinator);
    worker.OnMessage(envelope, now);
  }

  std::uint64_t Hello(std::uint64_t coordinator, std::uint64_t nonce = 1) {
    wire::Envelope envelope;
    envelope.mutable_hello()->set_nonce(nonce);
    Receive(coordinator, envelope);
    return outbox.Last(&wire::Envelope::has_hello_ack).hello_ack().session();
  }

  static wire::TaskId Task(std::uint64_t coordinator, std::uint64_t sequence) {
    wire::TaskId id;
    id.set_coordinator(coordinator);
    id.set_sequence(sequence);
    return id;
  }

  // A Start whose task has the link sequence number as its ticket sequence.
  static wire::Envelope MakeStart(std::uint64_t coordinator, std::uint64_t session,
                                  std::uint64_t sequence, api::JobClass job_class = api::URGENT) {
    wire::Envelope envelope;
    wire::Start& start = *envelope.mutable_start();
    start.set_session(session);
    start.set_link_sequence(sequence);
    *start.mutable_task() = Task(coordinator, sequence);
    start.set_job_class(job_class);
    start.set_budget_us(1'000'000);
    return envelope;
  }

  void Start(std::uint64_t coordinator, std::uint64_t session, std::uint64_t sequence,
             api::JobClass job_class = api::URGENT) {
    Receive(coordinator, MakeStart(coordinator, session, sequence, job_class));
  }

  void Reserve(std::uint64_t coordinator, std::uint64_t session, std::uint64_t number,
               api::JobClass job_class = api::URGENT, std::uint64_t budget_us = 1'000'000) {
    wire::Envelope envelope;
    wire::Reserve& reserve = *envelope.mutable_reserve();
    reserve.set_session(session);
    reserve.set_reservation(number);
    reserve.set_job_class(job_class);
    reserve.set_budget_us(budget_us);
    Receive(coordinator, envelope);
  }

  void Resolve(std::uint64_t coordinator, std::uint64_t session, std::uint64_t floor,
               const std::vector<std::uint64_t>& sequences) {
    wire::Envelope envelope;
    envelope.mutable_resolve()->set_session(session);
    envelope.mutable_resolve()->set_floor(floor);
    for (const std::uint64_t sequence : sequences) {
      *envelope.mutable_resolve()->add_tasks() = Task(coordinator, sequence);
    }
    Receive(coordinator, envelope);
  }

  void Done(std::uint64_t coordinator, std::uint64_t sequence,
            BackendOutcome outcome = BackendOutcome::kDone, const std::string& output = "out") {
    worker.OnBackendDone(Task(coordinator, sequence), outcome, output, now);
  }

  const wire::Envelope& last() const { return outbox.sent.back().second; }

  TimePoint now{std::chrono::seconds(100)};
  StartPermission permission;
  WorkerRecordingOutbox outbox;
  RecordingBackend backend;
  Worker worker;
};

}  // namespace coltsfoottide::core
