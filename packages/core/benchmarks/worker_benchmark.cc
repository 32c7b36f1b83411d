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

// Keeps the last message only.
class LastMessage : public Outbox {
 public:
  void Send(const std::string&, wire::Envelope envelope) override { last = std::move(envelope); }
  void ResetLink(const std::string&) override {}

  wire::Envelope last;
};

class IdleBackend : public BackendPort {
 public:
  void Run(const wire::Start&, Duration) override {}
};

// A worker with all its slots open and sessions of several coordinators.
struct Bench {
  explicit Bench(std::size_t coordinators)
      : worker(LongSessions(), permission, outbox, backend, 7) {
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

  // Sessions outlast the simulated time of a benchmark.
  static WorkerOptions LongSessions() {
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

  // The next task of the coordinators in turn.
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
  LastMessage outbox;
  IdleBackend backend;
  Worker worker;
};

// A task's Start, its end and the acknowledgement, by number of coordinators.
void StartToAck(benchmark::State& state) {
  Bench bench(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    const wire::Envelope start = bench.NextStart();
    bench.worker.OnMessage(start, bench.now);
    bench.Finish(start);
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(StartToAck)->Arg(1)->Arg(64)->Arg(2048);

// The same through a reservation and an offer.
void ReserveToAck(benchmark::State& state) {
  Bench bench(64);
  for (auto _ : state) {
    wire::Envelope start = bench.NextStart();
    wire::Envelope reserve = Bench::From(start.incarnation());
    reserve.mutable_reserve()->set_session(start.start().session());
    reserve.mutable_reserve()->set_reservation(bench.sequence);
    reserve.mutable_reserve()->set_budget_us(1'000'000);
    bench.worker.OnMessage(reserve, bench.now);
    start.mutable_start()->set_offer(bench.outbox.last.offer().offer());
    bench.worker.OnMessage(start, bench.now);
    bench.Finish(start);
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(ReserveToAck);

// A Start that a full worker refuses, by number of queued reservations.
void RefuseBusy(benchmark::State& state) {
  Bench bench(64);
  for (int n = 0; n < 8; ++n) {
    bench.worker.OnMessage(bench.NextStart(), bench.now);
  }
  for (std::int64_t n = 1; n <= state.range(0); ++n) {
    wire::Envelope reserve = Bench::From(1);
    reserve.mutable_reserve()->set_session(bench.sessions[0]);
    reserve.mutable_reserve()->set_reservation(static_cast<std::uint64_t>(n));
    reserve.mutable_reserve()->set_budget_us(1'000'000);
    bench.worker.OnMessage(reserve, bench.now);
  }
  for (auto _ : state) {
    bench.worker.OnMessage(bench.NextStart(), bench.now);
  }
}
BENCHMARK(RefuseBusy)->Arg(0)->Arg(256);

// A tick of an idle worker, which it gets every 100 ms.
void IdleTick(benchmark::State& state) {
  Bench bench(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    bench.now += std::chrono::milliseconds(100);
    bench.Renew();
    bench.worker.Tick(bench.now);
  }
}
BENCHMARK(IdleTick)->Arg(64)->Arg(2048);

}  // namespace
}  // namespace coltsfoottide::core

BENCHMARK_MAIN();
