// Runs one task on a worker and prints the messages sent to the coordinator.

#include "coltsfoottide/core/worker.h"

#include <iostream>
#include <utility>

#include "coltsfoottide/core/outbox.h"
#include "coltsfoottide/core/start_permission.h"

namespace core = coltsfoottide::core;
namespace wire = coltsfoottide::wire;

namespace {

class PrintingOutbox : public core::Outbox {
 public:
  void Send(const std::string& endpoint, wire::Envelope envelope) override {
    std::cout << "to " << endpoint << ": " << envelope.ShortDebugString() << "\n";
    last = std::move(envelope);
  }
  void ResetLink(const std::string&) override {}

  wire::Envelope last;
};

class ManualBackend : public core::BackendPort {
 public:
  void Run(const wire::Start& start, core::Duration) override { running = start.task(); }

  wire::TaskId running;
};

}  // namespace

int main() {
  core::TimePoint now{std::chrono::seconds(1)};
  core::StartPermission permission;
  PrintingOutbox outbox;
  ManualBackend backend;
  core::Worker worker(core::WorkerOptions(), permission, outbox, backend, 1);

  permission.OnEvidence(now, 0);
  worker.OnBackendHealth(true, 8, now);

  wire::Envelope hello;
  hello.set_from("10.0.0.1:7000");
  hello.set_incarnation(42);
  hello.mutable_hello()->set_nonce(1);
  worker.OnMessage(hello, now);

  wire::Envelope start;
  start.set_from("10.0.0.1:7000");
  start.set_incarnation(42);
  start.mutable_start()->set_session(outbox.last.hello_ack().session());
  start.mutable_start()->set_link_sequence(1);
  start.mutable_start()->mutable_task()->set_coordinator(42);
  start.mutable_start()->set_budget_us(500'000);
  worker.OnMessage(start, now);

  now += std::chrono::milliseconds(50);
  worker.OnBackendDone(backend.running, core::BackendOutcome::kDone, "clip found", now);
  return outbox.last.result().outcome() == wire::DONE ? 0 : 1;
}
