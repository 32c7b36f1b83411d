#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/core/coordinator.h"
#include "coltsfoottide/core/outbox.h"
#include "coltsfoottide/core/placement.h"

namespace coltsfoottide::core {

// Records what a coordinator sends.
class RecordingOutbox : public Outbox {
 public:
  void Send(const std::string& endpoint, wire::Envelope envelope) override {
    sent.emplace_back(endpoint, std::move(envelope));
  }
  void ResetLink(const std::string& endpoint) override { resets.push_back(endpoint); }

  std::vector<std::pair<std::string, wire::Envelope>> sent;
  std::vector<std::string> resets;
};

// A coordinator with workers and an entry that the test simulates.
class CoordinatorHarness {
 public:
  static constexpr std::uint64_t kIncarnation = 77;

  explicit CoordinatorHarness(CoordinatorOptions options = {})
      : coordinator(Complete(std::move(options)), MakeHybridPlacement(1), outbox, 1) {}

  static CoordinatorOptions Complete(CoordinatorOptions options) {
    options.endpoint = "self:1";
    options.incarnation = kIncarnation;
    options.data_centre = "tanger-a";
    return options;
  }

  static api::WorkerInfo Info(const std::string& endpoint, std::uint64_t incarnation = 1) {
    api::WorkerInfo info;
    info.set_endpoint(endpoint);
    info.set_incarnation(incarnation);
    info.set_data_centre("tanger-a");
    info.set_service("match-review");
    info.set_state(api::SERVING);
    info.mutable_resources()->set_memory_mb(1000);
    return info;
  }

  void Deliver(const std::string& from, wire::Envelope envelope, std::uint64_t incarnation = 1) {
    envelope.set_from(from);
    envelope.set_incarnation(incarnation);
    coordinator.OnMessage(envelope, now);
  }

  // Makes the endpoints candidates and answers their Hello.
  void AddWorkers(const std::vector<std::string>& endpoints, std::uint32_t slots = 8) {
    std::vector<api::WorkerInfo> infos;
    for (const auto& endpoint : endpoints) {
      infos.push_back(Info(endpoint));
    }
    coordinator.SetCandidates(infos, now);
    AnswerHellos(slots);
  }
  void AnswerHellos(std::uint32_t slots = 8, std::uint64_t incarnation = 1) {
    for (const auto& [to, envelope] : Take(wire::Envelope::kHello)) {
      wire::Envelope ack;
      ack.mutable_hello_ack()->set_nonce(envelope.hello().nonce());
      ack.mutable_hello_ack()->set_session(++sessions);
      *ack.mutable_hello_ack()->mutable_load() = MakeLoad(slots, 0);
      Deliver(to, ack, incarnation);
    }
  }

  wire::Load MakeLoad(std::uint32_t slots, std::uint32_t busy, bool accepting = true) {
    wire::Load load;
    load.set_slots(slots);
    load.set_busy(busy);
    load.set_queued(queued);
    load.set_accepting(accepting);
    load.set_version(++version);
    return load;
  }

  // Removes the sent messages of one kind and returns them.
  std::vector<std::pair<std::string, wire::Envelope>> Take(wire::Envelope::BodyCase kind) {
    std::vector<std::pair<std::string, wire::Envelope>> taken;
    std::erase_if(outbox.sent, [&](auto& item) {
      const bool match = item.second.body_case() == kind;
      if (match) {
        taken.push_back(item);
      }
      return match;
    });
    return taken;
  }
  std::pair<std::string, wire::Envelope> TakeOne(wire::Envelope::BodyCase kind) {
    auto taken = Take(kind);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, taken.size());
    return taken.front();
  }
  api::JobAnswer TakeAnswer() {
    return TakeOne(wire::Envelope::kJobReply).second.job_reply().answer();
  }

  api::Ticket ObtainTicket() {
    wire::Envelope envelope;
    envelope.mutable_ticket_request()->set_count(1);
    Deliver("entry", envelope);
    return TakeOne(wire::Envelope::kTicketReply).second.ticket_reply().tickets(0);
  }

  // A job of independent tasks, or of a chain.
  static api::JobSpec MakeJob(int tasks, bool chain = false) {
    api::JobSpec job;
    job.set_team("coaches");
    job.set_service("match-review");
    job.set_job_class(api::URGENT);
    job.set_deadline_ms(8000);
    for (int n = 0; n < tasks; ++n) {
      api::TaskSpec* task = job.add_tasks();
      task->set_kind("clip-lookup");
      if (chain && n > 0) {
        task->add_depends_on(static_cast<std::uint32_t>(n - 1));
      }
    }
    return job;
  }

  api::Ticket Submit(const api::JobSpec& job, bool wait = true) {
    const api::Ticket ticket = ObtainTicket();
    SubmitWith(ticket, job, wait);
    return ticket;
  }
  // Submits the ticket as an entry that does not admit the job.
  void SubmitRefused(const api::Ticket& ticket, const api::JobSpec& job) {
    wire::Envelope envelope;
    wire::SubmitJob& submit = *envelope.mutable_submit_job();
    submit.set_request(++requests);
    *submit.mutable_ticket() = ticket;
    *submit.mutable_job() = job;
    submit.set_wait(true);
    submit.mutable_refusal()->set_verdict(api::NOT_RUN);
    submit.mutable_refusal()->set_reason(api::QUOTA_EXCEEDED);
    Deliver("entry", envelope);
  }
  void SubmitWith(const api::Ticket& ticket, const api::JobSpec& job, bool wait = true) {
    wire::Envelope envelope;
    envelope.mutable_submit_job()->set_request(++requests);
    *envelope.mutable_submit_job()->mutable_ticket() = ticket;
    *envelope.mutable_submit_job()->mutable_job() = job;
    envelope.mutable_submit_job()->set_wait(wait);
    Deliver("entry", envelope);
  }
  void Cancel(const api::Ticket& ticket) {
    wire::Envelope envelope;
    *envelope.mutable_cancel_job()->mutable_ticket() = ticket;
    Deliver("entry", envelope);
  }

  void Finish(const std::string& worker, const wire::TaskId& task, const std::string& output = "ok",
              wire::TaskOutcome outcome = wire::DONE) {
    wire::Envelope envelope;
    wire::Result* result = envelope.mutable_result();
    *result->mutable_task() = task;
    result->set_outcome(outcome);
    result->set_output(output);
    result->set_run_us(100000);
    *result->mutable_load() = MakeLoad(8, 0);
    Deliver(worker, envelope);
  }
  void Refuse(const std::string& worker, const wire::Start& start, wire::StartRefusal refusal,
              std::uint32_t busy = 8) {
    wire::Envelope envelope;
    *envelope.mutable_refused()->mutable_task() = start.task();
    envelope.mutable_refused()->set_link_sequence(start.link_sequence());
    envelope.mutable_refused()->set_refusal(refusal);
    *envelope.mutable_refused()->mutable_load() = MakeLoad(8, busy);
    Deliver(worker, envelope);
  }
  void Offer(const std::string& worker, std::uint64_t reservation, std::uint64_t offer) {
    wire::Envelope envelope;
    envelope.mutable_offer()->set_reservation(reservation);
    envelope.mutable_offer()->set_offer(offer);
    *envelope.mutable_offer()->mutable_load() = MakeLoad(8, 8);
    Deliver(worker, envelope);
  }
  void AnswerResolve(const std::string& worker, const wire::Resolve& resolve,
                     wire::TaskStanding standing, bool known = true,
                     std::uint64_t incarnation = 1) {
    wire::Envelope envelope;
    wire::Resolved* resolved = envelope.mutable_resolved();
    resolved->set_session(resolve.session());
    resolved->set_nonce(resolve.nonce());
    resolved->set_known(known);
    for (const auto& task : resolve.tasks()) {
      auto* item = resolved->add_items();
      *item->mutable_task() = task;
      item->set_standing(standing);
    }
    *resolved->mutable_load() = MakeLoad(8, 0);
    Deliver(worker, envelope, incarnation);
  }

  // Advances the time, calling Tick exactly at each NextWake.
  void Advance(Duration duration) {
    const TimePoint end = now + duration;
    while (coordinator.NextWake() <= end) {
      now = std::max(now, coordinator.NextWake());
      coordinator.Tick(now);
    }
    now = end;
  }

  RecordingOutbox outbox;
  TimePoint now{std::chrono::seconds(1000)};
  Coordinator coordinator;
  // Queue length that workers report from now on.
  std::uint32_t queued = 0;
  std::uint64_t sessions = 500;
  std::uint64_t version = 0;
  std::uint64_t requests = 0;
};

}  // namespace coltsfoottide::core
