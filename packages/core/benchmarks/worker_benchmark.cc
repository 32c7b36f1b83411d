#include <benchmark/benchmark.h>

#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/core/backend_port.h"
#include "coltsfoottide/core/outbox.h"
#include "coltsfoottide/core/start_permission.h"
#include "coltsfoottide/core/worker.h"

namespace coltsfoottide::core {
namespace {

// Stores only the last message.
class LastMessageOutbox : public Outbox {
 public:
  void Send(const std::string&, wire::Envelope envelope) override { last = std::move(envelope); }
  void ResetLink(const std::string&) override {}

  wire::Envelope last;
};

class IdleBackend : public BackendPort {
 public:
  void Run(const wire::Start&, Duration) override {}
};

// A worker with all its slots open and a session for each coordinator.
struct BenchmarkSetup {
  explicit BenchmarkSetup(std::size_t coordinators)
      : worker(LongSessionOptions(), permission, outbox, backend, 7) {
    worker.OnBackendHealth(true, 8, now);
    Renew();
    worker.Tick(now);
    now += std::chrono::seconds(2);
    Renew();
    for (std::uint64_t n = 1; n <= coordinators; ++n) {
      wire::Envelope hello = From(n);
      hello.mutable_hello()->set_nonce(1);
      worker.OnMessage(hello, now);
      sessions.push_back(outbox.last.hello_ack().session());
    }
  }

  // Sessions must not expire in the simulated time of a benchmark.
  static WorkerOptions LongSessionOptions() {
    WorkerOptions options;
    options.session_timeout = std::chrono::hours(1'000'000);
    return options;
  }

  void Renew() { permission.OnEvidence(now, 0); }

  static wire::Envelope From(std::uint64_t coordinator) {
    wire::Envelope envelope;
    envelope.set_from("10.0.0.1:" + std::to_string(7000 + coordinator));
    envelope.set_incarnation(coordinator);
    return envelope;
  }

  // Returns the Start of a new task, from the coordinators in turn.
  wire::Envelope NextStart() {
    const std::uint64_t coordinator = 1 + (++sequence % sessions.size());
    wire::Envelope envelope = From(coordinator);
    wire::Start& start = *envelope.mutable_start();
    start.set_session(sessions[coordinator - 1]);
    start.set_link_sequence(sequence);
    start.mutable_task()->set_coordinator(coordinator);
    start.mutable_task()->set_sequence(sequence);
    start.set_payload(std::string(256, 'x'));
    start.set_budget_us(1'000'000);
    return envelope;
  }

  void Finish(const wire::Envelope& start) {
    worker.OnBackendDone(start.start().task(), BackendOutcome::kDone, output, now);
    wire::Envelope ack = From(start.incarnation());
    *ack.mutable_result_ack()->add_tasks() = start.start().task();
    worker.OnMessage(ack, now);
  }

  TimePoint now{std::chrono::seconds(100)};
  std::uint64_t sequence = 0;
  std::string output = std::string(256, 'y');
  std::vector<std::uint64_t> sessions;
  StartPermission permission;
  LastMessageOutbox outbox;
  IdleBackend backend;
  Worker worker;
};

// Start, end and acknowledgement of one task, by number of coordinators.
void StartToAck(benchmark::State& state) {
  BenchmarkSetup setup(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    const wire::Envelope start = setup.NextStart();
    setup.worker.OnMessage(start, setup.now);
    setup.Finish(start);
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(StartToAck)->Arg(1)->Arg(64)->Arg(2048);

// Reservation, offer, start, end and acknowledgement of one task, with 64
// coordinators.
void ReserveToAck(benchmark::State& state) {
  BenchmarkSetup setup(64);
  for (auto _ : state) {
    wire::Envelope start = setup.NextStart();
    wire::Envelope reserve = BenchmarkSetup::From(start.incarnation());
    reserve.mutable_reserve()->set_session(start.start().session());
    reserve.mutable_reserve()->set_reservation(setup.sequence);
    reserve.mutable_reserve()->set_budget_us(1'000'000);
    setup.worker.OnMessage(reserve, setup.now);
    start.mutable_start()->set_offer(setup.outbox.last.offer().offer());
    setup.worker.OnMessage(start, setup.now);
    setup.Finish(start);
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(ReserveToAck);

// Refusal of a Start by a full worker, by number of queued reservations.
void RefuseBusy(benchmark::State& state) {
  BenchmarkSetup setup(64);
  for (int n = 0; n < 8; ++n) {
    setup.worker.OnMessage(setup.NextStart(), setup.now);
  }
  for (std::int64_t n = 1; n <= state.range(0); ++n) {
    wire::Envelope reserve = BenchmarkSetup::From(1);
    reserve.mutable_reserve()->set_session(setup.sessions[0]);
    reserve.mutable_reserve()->set_reservation(static_cast<std::uint64_t>(n));
    reserve.mutable_reserve()->set_budget_us(1'000'000);
    setup.worker.OnMessage(reserve, setup.now);
  }
  for (auto _ : state) {
    setup.worker.OnMessage(setup.NextStart(), setup.now);
  }
}
BENCHMARK(RefuseBusy)->Arg(0)->Arg(256);

// Tick of an idle worker, which is called every 100 ms.
void IdleTick(benchmark::State& state) {
  BenchmarkSetup setup(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    setup.now += std::chrono::milliseconds(100);
    setup.Renew();
    setup.worker.Tick(setup.now);
  }
}
BENCHMARK(IdleTick)->Arg(64)->Arg(2048);

}  // namespace
}  // namespace coltsfoottide::core

BENCHMARK_MAIN();
