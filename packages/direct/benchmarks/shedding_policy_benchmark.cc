#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoottide/direct/admission_request.h"
#include "coltsfoottide/direct/run_queue.h"
#include "coltsfoottide/direct/shedding_policy.h"
#include "coltsfoottide/direct/waiting_job.h"

namespace coltsfoottide::direct {
namespace {

constexpr core::TimePoint kNow{std::chrono::hours(1)};
constexpr core::Duration kMs = std::chrono::milliseconds(1);

// The decision on a submitted job.
void DecideAdmission(benchmark::State& state) {
  SheddingPolicy policy(OverloadPolicy::kPriority);
  AdmissionRequest request;
  request.work = 1000;
  core::TimePoint now = kNow;
  for (auto _ : state) {
    now += kMs;
    request.priority = (request.priority + 1) % 3;
    request.start_delay = request.backlog = kMs * 40;
    policy.OnSubmit(request.priority, kMs * 100, now);
    benchmark::DoNotOptimize(policy.Decide(request, now));
  }
}
BENCHMARK(DecideAdmission);

// One start at an agent; the argument is the number of runs that wait.
void TakeNextRun(benchmark::State& state) {
  RunQueue queue(state.range(1) == 0 ? OverloadPolicy::kShared : OverloadPolicy::kPriority);
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    RunOrder order;
    order.id.task.job = std::to_string(i);
    order.need.cpu_millicores = 1000;
    order.estimate = kMs * (10 + i % 7);
    order.objective = kNow + kMs * (20 + i % 50);
    order.priority = static_cast<std::uint32_t>(i % 3);
    queue.Add(std::move(order), "entry");
  }
  for (auto _ : state) {
    auto item = queue.TakeNext({1000, 0, 0}, kNow);
    item->yielded = 0;
    queue.Return(std::move(*item));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(TakeNextRun)->ArgsProduct({{16, 128, 1024}, {0, 1}});

// The choice of the jobs to give up; the argument is the number of jobs that wait.
void ChooseGivenUp(benchmark::State& state) {
  SheddingPolicy policy(OverloadPolicy::kPriority);
  policy.OnSubmit(0, kMs * 100, kNow);
  std::vector<WaitingJob> waiting;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    waiting.push_back({std::to_string(i), 1 + static_cast<std::uint32_t>(i % 2), kMs * 60,
                       kNow + kMs * (i % 100), static_cast<std::uint64_t>(i % 977), false});
  }
  for (auto _ : state) benchmark::DoNotOptimize(policy.ChooseGivenUp(waiting, 8, kNow));
}
BENCHMARK(ChooseGivenUp)->Arg(16)->Arg(128)->Arg(1024);

}  // namespace
}  // namespace coltsfoottide::direct

BENCHMARK_MAIN();
