#include <benchmark/benchmark.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/claim_registry.h"
#include "coltsfoottide/direct/claim_registry_sink.h"
#include "coltsfoottide/direct/claim_release.h"
#include "coltsfoottide/direct/claim_verdict.h"
#include "coltsfoottide/direct/job_claim.h"
#include "coltsfoottide/direct/job_claims.h"
#include "coltsfoottide/direct/job_claims_sink.h"
#include "coltsfoottide/direct/job_outcome.h"
#include "coltsfoottide/direct/job_request.h"
#include "coltsfoottide/direct/rival_claim.h"

namespace coltsfoottide::direct {
namespace {

constexpr std::size_t kJobs = 1024;

// Keeps the claims that have to be answered, and counts granted jobs.
class ClaimCollector : public JobClaimsSink {
 public:
  void SendClaim(const std::string& entry, const JobClaim& claim) override {
    claims.emplace_back(entry, claim);
  }
  void SendRelease(const std::string& /*entry*/, const ClaimRelease& release) override {
    benchmark::DoNotOptimize(release.number);
  }
  void SendBegunJobs(const std::string& /*entry*/,
                     const std::vector<std::uint32_t>& jobs) override {
    benchmark::DoNotOptimize(jobs.size());
  }
  void OnGranted(JobRequest /*request*/, core::TimePoint /*now*/) override { ++granted; }
  void OnOutcome(const std::string& /*job*/, const JobOutcome& /*outcome*/) override {}
  void OnClaimLost(const std::string& /*job*/, const std::string& /*holder*/,
                   core::TimePoint /*now*/) override {}
  void OnClaimExpired(const std::string& /*job*/, core::TimePoint /*now*/) override {}
  void OnAwaitedElsewhere(const RivalClaim& /*message*/, core::TimePoint /*now*/) override {}
  void OnTakenElsewhere(const std::string& /*job*/, const std::string& /*holder*/) override {}
  void OnUnanswered(const std::string& /*entry*/) override {}

  std::vector<std::pair<std::string, JobClaim>> claims;
  std::int64_t granted = 0;
};

// What an entry spends on the claim of one job; the argument is the number of entries.
void ClaimAndRelease(benchmark::State& state) {
  const core::TimePoint now{std::chrono::hours(1)};
  ClaimCollector sink;
  JobClaims claims("10.0.0.0", 1, sink);
  for (std::int64_t i = 1; i < state.range(0); ++i) {
    claims.OnConnected("10.0.0." + std::to_string(i), now);
  }
  claims.SetConnected(true, now);
  std::vector<JobRequest> requests(kJobs);
  for (std::size_t i = 0; i < kJobs; ++i) {
    requests[i].id = "job-" + std::to_string(i);
    requests[i].deadline = now + std::chrono::seconds(5);
  }
  const JobOutcome outcome{JobOutcome::Kind::kCompleted, "", {}, {}};
  std::size_t next = 0;
  std::int64_t messages = 0;
  for (auto _ : state) {
    const JobRequest& request = requests[next++ % kJobs];
    claims.Claim(request, now);
    for (const auto& [entry, claim] : std::exchange(sink.claims, {})) {
      claims.OnVerdict(
          entry, {claim.job, claim.number, ClaimVerdict::Kind::kGranted, false, "10.0.0.0", {}},
          now);
      ++messages;
    }
    claims.Release(request.id, outcome);
  }
  if (sink.granted != state.iterations()) state.SkipWithError("a job was not granted");
  state.counters["claims_per_job"] =
      benchmark::Counter(static_cast<double>(messages), benchmark::Counter::kAvgIterations);
}
BENCHMARK(ClaimAndRelease)->Arg(3)->Arg(35)->Arg(200);

// Drops the answers of a registry.
class VerdictCounter : public ClaimRegistrySink {
 public:
  void SendVerdict(const std::string& /*entry*/, const ClaimVerdict& /*verdict*/) override {
    ++verdicts;
  }
  void SendRival(const std::string& /*entry*/, const RivalClaim& /*message*/) override {}

  std::int64_t verdicts = 0;
};

// What an entry spends on the record of one job, with the outcomes of 10,000 jobs remembered; the
// argument is the number of entries.
void RecordAndRelease(benchmark::State& state) {
  constexpr int kRemembered = 10000;
  VerdictCounter sink;
  ClaimRegistry registry(
      {std::chrono::seconds(1), std::chrono::seconds(2), std::chrono::seconds(1)}, sink);
  core::TimePoint now{std::chrono::hours(1)};
  std::vector<std::string> entries;
  for (std::int64_t i = 1; i < state.range(0); ++i) {
    entries.push_back("10.0.0." + std::to_string(i));
  }
  for (const std::string& it : entries) registry.OnHeard(it, now);
  // Outcomes are remembered for 10 s.
  const core::Duration interval = core::Duration(std::chrono::seconds(10)) / kRemembered;
  const JobOutcome outcome{JobOutcome::Kind::kCompleted, "", {}, {}};
  std::uint32_t number = 0;
  for (auto _ : state) {
    now += interval;
    ++number;
    const std::string job = "job-" + std::to_string(number);
    const std::string& entry = entries[number % entries.size()];
    registry.OnClaim(entry, {job, number, false, std::chrono::seconds(1)}, now);
    registry.OnRelease(entry, {job, number, outcome}, now);
    constexpr std::uint32_t kJobsPerTick = 20;
    if (number % kJobsPerTick == 0) registry.Advance(now);
  }
  if (sink.verdicts != state.iterations()) state.SkipWithError("a claim was not answered");
}
BENCHMARK(RecordAndRelease)->Arg(3)->Arg(35)->Arg(200);

}  // namespace
}  // namespace coltsfoottide::direct

BENCHMARK_MAIN();
