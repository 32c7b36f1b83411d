#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

#include "simulated_fleet.h"

namespace coltsfoottide::direct {
namespace {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kServers = 11;
// The rule: a task that crashes its backend servers is not started three times more
// after three have crashed under it.
constexpr std::size_t kMaxLateStarts = 2;

core::Duration Seconds(int n) { return std::chrono::seconds(n); }

// The mix of kinds of the Atlas deployment: narrow and wide, short and long. With a
// rate of 140 jobs a second they ask for 0.62 of the capacity.
std::vector<SimulatedFleet::Kind> Kinds(double jobs_per_second) {
  const double part = jobs_per_second / 140.65;
  return {{"lookups", 8, Ms(60), 34.4 * part},
          {"builds", 4, Ms(900), 6.25 * part},
          {"checks", 2, Ms(200), 100.0 * part}};
}

class CrashingTasksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingTasksTest);
  CPPUNIT_TEST(AllKindsAreServedWithoutCrashes);
  CPPUNIT_TEST(TaskIsGivenUpAfterItCrashedTwoServers);
  CPPUNIT_TEST(SubmissionsThroughOtherEntriesShareTheBound);
  CPPUNIT_TEST(DeathOfAnEntryDoesNotResetTheBound);
  CPPUNIT_TEST(HealthyTasksOfCrashedServersAreServed);
  CPPUNIT_TEST(OtherKindsAreServedWhileOneKindCrashesServers);
  CPPUNIT_TEST(RestartedEntryKeepsRoutesIsolated);
  CPPUNIT_TEST_SUITE_END();

  static void SimulateUntilCrashes(SimulatedFleet& fleet, std::size_t crashes) {
    const core::TimePoint limit = fleet.now() + Seconds(10);
    while (fleet.crashes() < crashes && fleet.now() < limit) fleet.Simulate(Ms(1));
    CPPUNIT_ASSERT(fleet.crashes() >= crashes);
  }

  // The same load and fleet as below. Guards against a simulation that serves too little
  // by itself.
  void AllKindsAreServedWithoutCrashes() {
    SimulatedFleet fleet(kEntries, kServers, Kinds(140), {}, 5);
    fleet.Simulate(Seconds(20));
    for (std::size_t kind = 0; kind < 3; ++kind) {
      CPPUNIT_ASSERT(fleet.InTimeShare(kind, Seconds(0), Seconds(15)) >= 0.97);
    }
  }

  // Guards against a task that is started again on server after server for as long as
  // its deadline allows (issue 24).
  void TaskIsGivenUpAfterItCrashedTwoServers() {
    SimulatedFleet fleet(kEntries, kServers, Kinds(140), {}, 1);
    fleet.Simulate(Seconds(2));
    fleet.AddJob("crashing", 1, true);
    fleet.Submit("crashing", 0);
    fleet.Simulate(Seconds(4));
    CPPUNIT_ASSERT(fleet.MostLateStarts() <= kMaxLateStarts);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.crashes());
    const auto& outcome = fleet.jobs().at("crashing").outcome;
    CPPUNIT_ASSERT(outcome && outcome->kind == JobOutcome::Kind::kFailed);
  }

  // The caller submits the same job through one entry after the other. Guards against
  // counts of crashes that each entry keeps for itself.
  void SubmissionsThroughOtherEntriesShareTheBound() {
    SimulatedFleet fleet(kEntries, kServers, Kinds(70), {}, 2);
    fleet.Simulate(Seconds(2));
    fleet.AddJob("crashing", 1, true);
    for (std::size_t i = 0; i < kEntries; ++i) {
      fleet.Submit("crashing", i);
      fleet.Simulate(Ms(1300));
    }
    CPPUNIT_ASSERT(fleet.MostLateStarts() <= kMaxLateStarts);
    CPPUNIT_ASSERT(fleet.crashes() <= 3);
  }

  // The entry dies after the first crash, the next one after the second. Guards against
  // counts that end with the process that has them.
  void DeathOfAnEntryDoesNotResetTheBound() {
    SimulatedFleet fleet(kEntries, kServers, Kinds(70), {}, 3);
    fleet.Simulate(Seconds(2));
    fleet.AddJob("crashing", 1, true);
    fleet.Submit("crashing", 0);
    SimulateUntilCrashes(fleet, 1);
    fleet.KillEntry(0);
    SimulateUntilCrashes(fleet, 2);
    fleet.KillEntry(1);
    fleet.Simulate(Seconds(8));
    CPPUNIT_ASSERT(fleet.MostLateStarts() <= kMaxLateStarts);
    CPPUNIT_ASSERT(fleet.crashes() <= 3);
  }

  // Guards against giving up the tasks that ran beside the cause, some of them more than
  // once.
  void HealthyTasksOfCrashedServersAreServed() {
    SimulatedFleet fleet(kEntries, kServers, Kinds(140), {0, 0.003, Seconds(2), Seconds(32)}, 4);
    fleet.Simulate(Seconds(36));
    CPPUNIT_ASSERT(fleet.crashes() > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.FalselyFailed());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.GivenUpEarly());
    for (std::size_t kind = 0; kind < 3; ++kind) {
      CPPUNIT_ASSERT(fleet.InTimeShare(kind, Seconds(2), Seconds(32)) >= 0.9);
    }
  }

  // One job in ten of a kind is crashing, three a second: more crashes than there are
  // backend servers to lose, even with one for each such job. Guards against one kind
  // of request that takes the whole fleet from the others, which have room for all their
  // work on three quarters of it. Nine tenths in time is the target of a deployment.
  void OtherKindsAreServedWhileOneKindCrashesServers() {
    SimulatedFleet fleet(kEntries, kServers, Kinds(140), {0, 0.1, Seconds(5), Seconds(15)}, 5);
    fleet.Simulate(Seconds(20));
    CPPUNIT_ASSERT(fleet.MostLateStarts() <= kMaxLateStarts);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.GivenUpEarly());
    CPPUNIT_ASSERT(fleet.InTimeShare(1, Seconds(5), Seconds(15)) >= 0.9);
    CPPUNIT_ASSERT(fleet.InTimeShare(2, Seconds(5), Seconds(15)) >= 0.9);
  }

  // The same load; an entry dies at second 11 and is back half a second later. Guards
  // against a new process that places crashing tasks on the backend servers that its peers
  // keep for other routes.
  void RestartedEntryKeepsRoutesIsolated() {
    for (const std::uint64_t seed : {5, 6, 7, 8, 9, 10}) {
      SimulatedFleet fleet(kEntries, kServers, Kinds(140), {0, 0.1, Seconds(5), Seconds(15)}, seed);
      fleet.Simulate(Seconds(11));
      fleet.KillEntry(0);
      fleet.Simulate(Seconds(9));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.CrashesOutsideIsolation(Ms(11'500), Seconds(15)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingTasksTest);

}  // namespace
}  // namespace coltsfoottide::direct
