#include <benchmark/benchmark.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

#include "../test/simulation.h"

namespace coltsfoottide::core {
namespace {

constexpr int kWorkers = 11;
constexpr std::uint32_t kSlots = 8;
constexpr const char* kDataCentres[] = {"tanger-a", "rabat-b", "fes-c"};

std::string Endpoint(const char* prefix, int n) { return prefix + std::to_string(n); }

std::vector<api::WorkerInfo> Candidates(int n) {
  std::vector<api::WorkerInfo> infos(static_cast<std::size_t>(n));
  for (int index = 0; index < n; ++index) {
    api::WorkerInfo& info = infos[static_cast<std::size_t>(index)];
    info.set_endpoint(Endpoint("w", index));
    info.set_incarnation(1);
    info.set_data_centre(kDataCentres[index % 3]);
    info.set_service("match-review");
    info.set_state(api::SERVING);
  }
  return infos;
}

// Places one task among the given number of candidates.
void PlaceOneTask(benchmark::State& state) {
  const auto placement = MakeHybridPlacement(1);
  std::vector<WorkerView> views;
  views.reserve(static_cast<std::size_t>(state.range(0)));
  for (int n = 0; n < state.range(0); ++n) {
    views.push_back({Endpoint("10.0.0.1:400", n), kDataCentres[n % 3], "rack-1", n % 9, 8, 0, {}});
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        placement->Place(views, "tanger-a", api::URGENT, {}, TimePoint(Duration(1))));
  }
}
BENCHMARK(PlaceOneTask)->Arg(11)->Arg(64);

// 11 coordinators and 11 workers with 8 slots each, the sizes of the Atlas
// fleet, in simulated time. Jobs of 1 to 8 tasks of 50 ms to 1 s arrive as a
// Poisson process.
class LoadedCluster {
 public:
  LoadedCluster(bool hybrid, double load, std::uint64_t seed) : simulation_(seed) {
    for (int n = 0; n < kWorkers; ++n) {
      workers_.push_back(std::make_unique<FakeWorker>(simulation_, Endpoint("w", n), 1, kSlots));
      AddCoordinator(n, hybrid);
    }
    simulation_.RunUntil(simulation_.now + std::chrono::seconds(1));
    // A job has 4.5 tasks on average, and run times drawn log-uniformly from
    // 50 ms to 1 s have a mean of 0.317 s.
    rate_ = load * kWorkers * kSlots / (4.5 * 0.317);
  }

  void Run(Duration duration) {
    const TimePoint end = simulation_.now + duration;
    ScheduleArrivals(end);
    simulation_.RunUntil(end);
    utilization_ = static_cast<double>(simulation_.total_run_time.count()) /
                   static_cast<double>(duration.count()) / (kWorkers * kSlots);
    simulation_.RunUntil(end + std::chrono::seconds(10));
  }

  // Quantile of the response time over the ideal response time.
  double OverIdeal(double quantile) {
    std::sort(over_ideal_.begin(), over_ideal_.end());
    return over_ideal_[static_cast<std::size_t>(quantile *
                                                static_cast<double>(over_ideal_.size() - 1))];
  }
  double OtherMessagesPerTask() const {
    std::uint64_t other = 0;
    for (const auto& coordinator : coordinators_) {
      other += coordinator->counters().other_messages;
    }
    return static_cast<double>(other) / static_cast<double>(simulation_.runs.size());
  }
  // Mean share of busy slots while jobs arrived.
  double utilization() const { return utilization_; }
  std::size_t tasks() const { return simulation_.runs.size(); }
  const std::map<std::string, std::uint64_t>& messages_by_kind() const {
    return simulation_.messages_by_kind;
  }
  std::size_t failed() const { return failed_; }

 private:
  void AddCoordinator(int n, bool hybrid) {
    const std::string endpoint = Endpoint("c", n);
    const std::uint64_t incarnation = static_cast<std::uint64_t>(n) + 1;
    outboxes_.push_back(std::make_unique<SimulatedOutbox>(simulation_, endpoint, incarnation));
    CoordinatorOptions options;
    options.endpoint = endpoint;
    options.incarnation = incarnation;
    options.data_centre = kDataCentres[n % 3];
    coordinators_.push_back(std::make_unique<Coordinator>(
        options, hybrid ? MakeHybridPlacement(incarnation) : MakeRandomPlacement(incarnation),
        *outboxes_.back(), incarnation));
    Coordinator* coordinator = coordinators_.back().get();
    simulation_.coordinators.push_back(coordinator);
    simulation_.Listen(endpoint, [this, coordinator](const wire::Envelope& envelope) {
      coordinator->OnMessage(envelope, simulation_.now);
    });
    simulation_.Listen(Endpoint("e", n),
                       [this, n](const wire::Envelope& envelope) { OnEntryMessage(n, envelope); });
    coordinator->SetCandidates(Candidates(kWorkers), simulation_.now);
  }

  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(arrivals_); }

  void ScheduleArrivals(TimePoint end) {
    if (simulation_.now >= end) {
      return;
    }
    wire::Envelope request;
    request.mutable_ticket_request()->set_count(1);
    SendFromEntry(static_cast<int>(arrivals_() % kWorkers), request);
    const double gap = -std::log(1 - Uniform()) / rate_;
    simulation_.At(simulation_.now + Duration(static_cast<Duration::rep>(gap * 1e6)),
                   [this, end] { ScheduleArrivals(end); });
  }

  void SendFromEntry(int n, wire::Envelope envelope) {
    envelope.set_from(Endpoint("e", n));
    coordinators_[static_cast<std::size_t>(n)]->OnMessage(envelope, simulation_.now);
  }

  void OnEntryMessage(int n, const wire::Envelope& envelope) {
    if (envelope.body_case() == wire::Envelope::kTicketReply) {
      Submit(n, envelope.ticket_reply().tickets(0));
      return;
    }
    const api::JobAnswer& answer = envelope.job_reply().answer();
    failed_ += answer.state() == api::COMPLETE ? 0 : 1;
    const double ideal_us = ideal_us_[{n, answer.ticket().sequence()}];
    over_ideal_.push_back(static_cast<double>(answer.elapsed_us()) / ideal_us);
    wire::Envelope ack;
    *ack.mutable_answer_ack()->mutable_ticket() = answer.ticket();
    SendFromEntry(n, ack);
  }

  // Half of the tasks depend on the one before them.
  void Submit(int n, const api::Ticket& ticket) {
    wire::Envelope envelope;
    wire::SubmitJob* submit = envelope.mutable_submit_job();
    *submit->mutable_ticket() = ticket;
    submit->set_wait(true);
    api::JobSpec* job = submit->mutable_job();
    job->set_team("coaches");
    job->set_service("match-review");
    job->set_job_class(api::URGENT);
    job->set_deadline_ms(30000);
    const int tasks = 1 + static_cast<int>(arrivals_() % 8);
    double chain = 0;
    double longest = 0;
    for (int index = 0; index < tasks; ++index) {
      api::TaskSpec* task = job->add_tasks();
      task->set_kind("kind-" + std::to_string(arrivals_() % 4));
      const double run_us = 50000 * std::pow(20, Uniform());
      task->set_payload(std::to_string(static_cast<std::int64_t>(run_us)));
      if (index > 0 && arrivals_() % 2 == 0) {
        task->add_depends_on(static_cast<std::uint32_t>(index - 1));
        chain += run_us;
      } else {
        chain = run_us;
      }
      longest = std::max(longest, chain);
    }
    ideal_us_[{n, ticket.sequence()}] =
        longest + 2 * static_cast<double>(simulation_.latency.count());
    SendFromEntry(n, envelope);
  }

  Simulation simulation_;
  // Separate from the simulation's generator, so that each placement gets the
  // same jobs.
  std::mt19937_64 arrivals_{11};
  std::vector<std::unique_ptr<FakeWorker>> workers_;
  std::vector<std::unique_ptr<SimulatedOutbox>> outboxes_;
  std::vector<std::unique_ptr<Coordinator>> coordinators_;
  double rate_ = 0;
  double utilization_ = 0;
  // Response time of a job without any queueing, in microseconds, by
  // coordinator and ticket sequence.
  std::map<std::pair<int, std::uint64_t>, double> ideal_us_;
  std::vector<double> over_ideal_;
  std::size_t failed_ = 0;
};

// Arguments: 1 for hybrid placement or 0 for the baseline, and the load in
// percent.
void RunLoadedCluster(benchmark::State& state) {
  for (auto _ : state) {
    LoadedCluster cluster(state.range(0) != 0, static_cast<double>(state.range(1)) / 100, 7);
    cluster.Run(std::chrono::seconds(60));
    state.counters["p50_over_ideal"] = cluster.OverIdeal(0.5);
    state.counters["p99_over_ideal"] = cluster.OverIdeal(0.99);
    state.counters["other_messages_per_task"] = cluster.OtherMessagesPerTask();
    state.counters["utilization"] = cluster.utilization();
    state.counters["tasks"] = static_cast<double>(cluster.tasks());
    for (const auto& [kind, count] : cluster.messages_by_kind()) {
      state.counters[kind] = static_cast<double>(count) / static_cast<double>(cluster.tasks());
    }
    state.counters["failed_jobs"] = static_cast<double>(cluster.failed());
  }
}
BENCHMARK(RunLoadedCluster)
    ->ArgNames({"hybrid", "load"})
    ->Args({1, 70})
    ->Args({0, 70})
    ->Args({1, 95})
    ->Args({1, 130})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace coltsfoottide::core

BENCHMARK_MAIN();
