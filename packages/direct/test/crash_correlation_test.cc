#include "coltsfoottide/direct/crash_correlation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

// A crash under runs of these routes, by their time on the backend server.
WorkerCrash MakeCrash(core::Duration at,
                      const std::vector<std::pair<std::string, core::Duration>>& runs) {
  WorkerCrash crash;
  crash.incarnation = 1;
  crash.time = kStart + at;
  crash.kind = WorkerCrash::Kind::kSuspected;
  for (const auto& [route, ran_for] : runs) {
    crash.runs.push_back({{{"j", 0, 0}, 1}, ran_for, true, route});
  }
  return crash;
}

class CrashCorrelationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashCorrelationTest);
  CPPUNIT_TEST(ThreeCrashesUnderOneRouteShowIt);
  CPPUNIT_TEST(RoutesThatCannotBeToldApartAreNotFound);
  CPPUNIT_TEST(TimesThatDifferShowNothing);
  CPPUNIT_TEST(CrashesAtOneTimeCountOnce);
  CPPUNIT_TEST(OldCrashesAreNotCounted);
  CPPUNIT_TEST(CauseIsFoundInALargeFleet);
  CPPUNIT_TEST(FurtherReportsOfACrashAreNotCounted);
  CPPUNIT_TEST(RetractedCrashIsNotCounted);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a route that takes the whole fleet while none of its tasks is started twice.
  void ThreeCrashesUnderOneRouteShowIt() {
    CrashCorrelation found;
    CPPUNIT_ASSERT(!found.OnCrash("a", MakeCrash(Ms(0), {{"cause", Ms(20)}, {"other", Ms(5)}})));
    CPPUNIT_ASSERT(!found.OnCrash("b", MakeCrash(Ms(300), {{"cause", Ms(35)}})));
    const auto route =
        found.OnCrash("c", MakeCrash(Ms(600), {{"cause", Ms(25)}, {"other", Ms(180)}}));
    CPPUNIT_ASSERT(route && *route == "cause");
  }

  // Guards against confining a route that only has tasks everywhere.
  void RoutesThatCannotBeToldApartAreNotFound() {
    CrashCorrelation found;
    for (const char* agent : {"a", "b", "c"}) {
      const core::Duration at = Ms(300) * (*agent - 'a');
      CPPUNIT_ASSERT(!found.OnCrash(agent, MakeCrash(at, {{"cause", Ms(20)}, {"beside", Ms(90)}})));
    }
    const auto route =
        found.OnCrash("d", MakeCrash(Ms(900), {{"cause", Ms(20)}, {"beside", Ms(160)}}));
    CPPUNIT_ASSERT(route && *route == "cause");
  }

  // Guards against blaming a route for crashes that only its load is beside.
  void TimesThatDifferShowNothing() {
    CrashCorrelation found;
    CPPUNIT_ASSERT(!found.OnCrash("a", MakeCrash(Ms(0), {{"lookups", Ms(5)}})));
    CPPUNIT_ASSERT(!found.OnCrash("b", MakeCrash(Ms(300), {{"lookups", Ms(60)}})));
    CPPUNIT_ASSERT(!found.OnCrash("c", MakeCrash(Ms(600), {{"lookups", Ms(110)}})));
    CPPUNIT_ASSERT(!found.OnCrash("d", MakeCrash(Ms(900), {{"lookups", Ms(900)}})));
  }

  // A rack loses power, which its agents notice at different times. Guards against blaming a task
  // for it.
  void CrashesAtOneTimeCountOnce() {
    CrashCorrelation found;
    for (const char* agent : {"a", "b", "c", "d"}) {
      const core::Duration at = Ms(10) * (*agent - 'a');
      CPPUNIT_ASSERT(!found.OnCrash(agent, MakeCrash(at, {{"lookups", Ms(20)}})));
    }
  }

  // Guards against blaming a route for crashes that are spread over the day.
  void OldCrashesAreNotCounted() {
    CrashCorrelation found;
    CPPUNIT_ASSERT(!found.OnCrash("a", MakeCrash(Ms(0), {{"lookups", Ms(20)}})));
    CPPUNIT_ASSERT(!found.OnCrash("b", MakeCrash(Ms(2000), {{"lookups", Ms(20)}})));
    CPPUNIT_ASSERT(!found.OnCrash("c", MakeCrash(Ms(4000), {{"lookups", Ms(20)}})));
  }

  // Among thousands of backend servers several crash within each millisecond. Guards against
  // taking all of them for one event, and against comparing each with all others.
  void CauseIsFoundInALargeFleet() {
    CrashCorrelation found;
    std::optional<std::string> route;
    for (int i = 0; i < 100 && !route; ++i) {
      const core::Duration other = Ms(37 * i % 240);
      route = found.OnCrash("agent-" + std::to_string(i),
                            MakeCrash(Ms(i), {{"cause", Ms(20)}, {"other", other}}));
    }
    CPPUNIT_ASSERT(route && *route == "cause");
  }

  // An agent reports a crash that it has suspected before, and with each hello.
  void FurtherReportsOfACrashAreNotCounted() {
    CrashCorrelation found;
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT(!found.OnCrash("a", MakeCrash(Ms(300) * i, {{"lookups", Ms(20)}})));
    }
  }

  // Guards against blaming a route for cuts of the network.
  void RetractedCrashIsNotCounted() {
    CrashCorrelation found;
    WorkerCrash retraction = MakeCrash(Ms(0), {});
    retraction.kind = WorkerCrash::Kind::kRetracted;
    for (const char* agent : {"a", "b", "c", "d"}) {
      const core::Duration at = Ms(300) * (*agent - 'a');
      CPPUNIT_ASSERT(!found.OnCrash(agent, MakeCrash(at, {{"lookups", Ms(20)}})));
      CPPUNIT_ASSERT(!found.OnCrash(agent, retraction));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashCorrelationTest);

}  // namespace
}  // namespace coltsfoottide::direct
