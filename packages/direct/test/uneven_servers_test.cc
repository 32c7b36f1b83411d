#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/job_dispatcher.h"
#include "direct_samples.h"
#include "recording_entry_sink.h"
#include "simulated_fleet.h"

namespace coltsfoottide::direct {
namespace {

using Kinds = std::vector<SimulatedFleet::Kind>;

constexpr std::size_t kServers = 8;
// Tasks of 6.2 cores that a backend server of 64 cores runs at once.
constexpr double kSlots = 10;
constexpr std::array<std::uint64_t, 3> kSeeds = {1, 2, 3};
constexpr auto kLength = std::chrono::seconds(20);
// By then the speeds are known.
constexpr auto kLearned = std::chrono::seconds(4);

SimulatedFleet::Variation Uneven() {
  SimulatedFleet::Variation variation;
  variation.speeds = {0.55, 1.2, 1.2, 1.2};
  variation.estimate_error = 0.4;
  variation.long_share = 0.03;
  return variation;
}

SimulatedFleet::Variation Similar() {
  SimulatedFleet::Variation variation = Uneven();
  variation.speeds = {0.8, 1.0, 1.25};
  return variation;
}

// Three kinds with the shares of work of the target deployment, which ask together for `demand`
// of the capacity.
Kinds KindsFor(double demand, const SimulatedFleet::Variation& variation) {
  Kinds kinds = {{"short", 8, Ms(51), 181}, {"middle", 2, Ms(170), 528}, {"long", 4, Ms(760), 33}};
  double work = 0;
  for (const auto& it : kinds) {
    work += it.rate * it.tasks * std::chrono::duration<double>(it.run_time).count();
  }
  work *= 1 + variation.long_share * (variation.long_factor - 1);
  double capacity = 0;
  for (std::size_t i = 0; i < kServers; ++i) {
    capacity += variation.speeds[i % variation.speeds.size()] * kSlots;
  }
  for (auto& it : kinds) it.rate *= demand * capacity / work;
  return kinds;
}

struct Result {
  std::vector<double> in_time;
  // Share of the starts that were further ones of a task.
  double restarts = 0;
  std::map<std::string, std::size_t> starts;

  double Mean() const { return (in_time[0] + in_time[1] + in_time[2]) / 3; }
};

Result Play(double demand, const SimulatedFleet::Variation& variation, std::uint64_t seed) {
  SimulatedFleet fleet(2, kServers, KindsFor(demand, variation), {}, seed, variation);
  fleet.Simulate(kLength);
  Result result;
  for (std::size_t kind = 0; kind < 3; ++kind) {
    result.in_time.push_back(fleet.InTimeShare(kind, kLearned, kLength - std::chrono::seconds(2)));
  }
  result.restarts = fleet.RestartShare();
  result.starts = fleet.starts_by_agent();
  return result;
}

class UnevenServersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnevenServersTest);
  CPPUNIT_TEST(SlowServersMakeFewerJobsLateBelowTheCapacity);
  CPPUNIT_TEST(SlowServersAreUsedNearTheCapacity);
  CPPUNIT_TEST(JobsAreAdmittedWhileSlowServersAreFree);
  CPPUNIT_TEST(LongTasksAreNotRunAgain);
  CPPUNIT_TEST(SimilarServersAreUsedAsBefore);
  CPPUNIT_TEST_SUITE_END();

  // Plays the load with agents that report no speed, as those of earlier versions, and with
  // agents that do, and returns the mean gain in jobs in time.
  static double Gain(double demand, double* in_time) {
    SimulatedFleet::Variation variation = Uneven();
    double gain = 0;
    *in_time = 0;
    for (const std::uint64_t seed : kSeeds) {
      variation.report_speed = false;
      const Result before = Play(demand, variation, seed);
      variation.report_speed = true;
      const Result after = Play(demand, variation, seed);
      gain += (after.Mean() - before.Mean()) / kSeeds.size();
      *in_time += after.Mean() / kSeeds.size();
    }
    return gain;
  }

  // A quarter of the backend servers at half the speed of the others, under 0.7 of the capacity.
  // Guards against jobs that are late because they run there while others are free.
  void SlowServersMakeFewerJobsLateBelowTheCapacity() {
    double in_time = 0;
    CPPUNIT_ASSERT(Gain(0.7, &in_time) >= 0.08);
    // With one task of 33 at seven times its run time, 0.86 of the jobs can be in time.
    CPPUNIT_ASSERT(in_time >= 0.82);
  }

  // The same under 0.95 of the capacity, which needs the slow ones as well. Guards against
  // leaving them idle, and against refusing jobs while they have room.
  void SlowServersAreUsedNearTheCapacity() {
    double in_time = 0;
    CPPUNIT_ASSERT(Gain(0.95, &in_time) >= 0.05);
    CPPUNIT_ASSERT(in_time >= 0.7);
    const Result result = Play(0.95, Uneven(), kSeeds[0]);
    // Each has 0.46 of the speed of a fast one, and the tasks that it gets are mostly short.
    CPPUNIT_ASSERT(result.starts.at("agent-0") * 4 >= result.starts.at("agent-1"));
  }

  // Short jobs bound the queueing delay to 55 ms, four fast backend servers have 60 ms of queued
  // work each, and a slow one is idle. Guards against refusing a long job, which ends sooner
  // behind such a queue, although there is room; and against admitting it when there is none.
  void JobsAreAdmittedWhileSlowServersAreFree() {
    for (const bool free : {true, false}) {
      RecordingEntrySink sink;
      JobDispatcher dispatcher({Ms(1800), 1, 1, OverloadPolicy::kShared, true}, "a", 1.5, sink);
      for (int i = 0; i < 5; ++i) {
        const std::string agent = "agent-" + std::to_string(i);
        const bool slow = i == 4;
        WorkerState state = IdleWorker();
        state.run_time_ratio = slow ? 1.82 : 0.83;
        if (!slow || !free) {
          state.free = {};
          state.queued_work = SampleWorker().total.cpu_millicores * 60;
        }
        dispatcher.OnAgentHello({agent, 1, true, {}, {}}, kStart);
        dispatcher.OnWorkerDescription(agent, SampleWorker());
        dispatcher.OnWorkerState(agent, state, 0, kStart + Ms(300 * i));
      }
      const core::TimePoint now = kStart + Ms(1500);
      dispatcher.Submit(JobAt("short", Ms(51), now), now);
      const std::size_t orders = sink.orders.size();
      dispatcher.Submit(JobAt("long", Ms(760), now), now);
      CPPUNIT_ASSERT_EQUAL(orders + (free ? 1 : 0), sink.orders.size());
      if (free) CPPUNIT_ASSERT(sink.orders.back().agent != "agent-4");
    }
  }

  static JobRequest JobAt(const std::string& id, core::Duration estimate, core::TimePoint now) {
    JobRequest job = SampleJob(id, 1);
    job.steps.front().estimate = estimate;
    job.objective = now + estimate * 16 / 10 + Ms(60);
    job.useful_until = now + (estimate * 16 / 10 + Ms(60)) * 3;
    job.deadline = job.useful_until;
    return job;
  }

  // 10 of 100 tasks take seven times their estimate on any backend server, all of which are
  // equally fast and half empty. Guards against stopping them and starting them again elsewhere,
  // where they take as long.
  void LongTasksAreNotRunAgain() {
    SimulatedFleet::Variation variation;
    variation.speeds = {1.0};
    variation.estimate_error = 0.4;
    variation.long_share = 0.1;
    CPPUNIT_ASSERT(Play(0.5, variation, kSeeds[0]).restarts <= 0.001);
  }

  // Speeds of 0.8 to 1.25 under 0.8 of the capacity. Guards against any other placement than
  // that of agents that report no speed.
  void SimilarServersAreUsedAsBefore() {
    for (const std::uint64_t seed : kSeeds) {
      SimulatedFleet::Variation variation = Similar();
      variation.report_speed = false;
      const Result before = Play(0.8, variation, seed);
      variation.report_speed = true;
      const Result after = Play(0.8, variation, seed);
      CPPUNIT_ASSERT(before.in_time == after.in_time);
      CPPUNIT_ASSERT(before.starts == after.starts);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnevenServersTest);

}  // namespace
}  // namespace coltsfoottide::direct
