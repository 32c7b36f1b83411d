#include "coltsfoottide/direct/route_isolation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

std::vector<std::string> Agents(int n) {
  std::vector<std::string> agents;
  agents.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) agents.push_back("agent-" + std::to_string(i));
  return agents;
}

class RouteIsolationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteIsolationTest);
  CPPUNIT_TEST(IsolatedRouteGetsTheShareOfItsWork);
  CPPUNIT_TEST(CrashedBackendServersAreTakenFirst);
  CPPUNIT_TEST(IsolatedRoutesDoNotShareBackendServers);
  CPPUNIT_TEST(SoleRouteKeepsAllBackendServers);
  CPPUNIT_TEST(OtherRoutesKeepOneBackendServer);
  CPPUNIT_TEST(FleetOfOneIsSharedByAll);
  CPPUNIT_TEST(OtherServicesAreNotTouched);
  CPPUNIT_TEST(DemandFollowsTheLoad);
  CPPUNIT_TEST(IsolationEndsSecondsAfterTheLastCrash);
  CPPUNIT_TEST(OneLostBackendServerMovesOneChoice);
  CPPUNIT_TEST(AdoptedRouteTakesOnlyWhatHasCrashed);
  CPPUNIT_TEST(AdoptedRouteWaitsForWhatHasCrashed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { isolation_ = RouteIsolation(); }

 private:
  void Submit(const std::string& route, std::uint64_t work, core::TimePoint now = kStart) {
    isolation_.OnSubmit("review", route, work, now);
  }
  void Assign(int agents, const std::set<std::string>& crashed = {}, core::TimePoint now = kStart) {
    isolation_.Assign({{"review", Agents(agents)}}, crashed, now);
  }
  int CountUsable(const std::string& route, int agents) const {
    const std::vector<std::string> all = Agents(agents);
    return static_cast<int>(std::count_if(all.begin(), all.end(), [&](const std::string& it) {
      return isolation_.MayUse(route, it);
    }));
  }
  // The route is isolated, and has a quarter of the work.
  void IsolateQuarter() {
    Submit("lookups", 1000);
    Submit("checks", 3000);
    isolation_.Isolate("lookups", kStart + Ms(10'000));
  }

  // Guards against one kind of request that takes all backend servers from the others,
  // and against confinement to so few that its own callers are refused without need.
  void IsolatedRouteGetsTheShareOfItsWork() {
    IsolateQuarter();
    Assign(11);
    CPPUNIT_ASSERT_EQUAL(3, CountUsable("lookups", 11));
    CPPUNIT_ASSERT_EQUAL(8, CountUsable("checks", 11));
    for (const std::string& it : Agents(11)) {
      CPPUNIT_ASSERT(isolation_.MayUse("lookups", it) != isolation_.MayUse("checks", it));
    }
  }

  // Guards against leaving other routes only what is down.
  void CrashedBackendServersAreTakenFirst() {
    IsolateQuarter();
    const std::set<std::string> crashed = {"agent-1", "agent-4", "agent-9"};
    Assign(11, crashed);
    CPPUNIT_ASSERT(isolation_.isolated().at("lookups") == crashed);
  }

  void IsolatedRoutesDoNotShareBackendServers() {
    IsolateQuarter();
    Submit("builds", 4000);
    isolation_.Isolate("builds", kStart + Ms(10'000));
    Assign(16);
    CPPUNIT_ASSERT_EQUAL(2, CountUsable("lookups", 16));
    CPPUNIT_ASSERT_EQUAL(8, CountUsable("builds", 16));
    CPPUNIT_ASSERT_EQUAL(6, CountUsable("checks", 16));
    for (const std::string& it : Agents(16)) {
      CPPUNIT_ASSERT(!isolation_.MayUse("lookups", it) || !isolation_.MayUse("builds", it));
    }
  }

  // Guards against refusals while backend servers stand idle that no one else needs.
  void SoleRouteKeepsAllBackendServers() {
    Submit("lookups", 1000);
    isolation_.Isolate("lookups", kStart + Ms(10'000));
    Assign(11);
    CPPUNIT_ASSERT_EQUAL(11, CountUsable("lookups", 11));
  }

  void OtherRoutesKeepOneBackendServer() {
    Submit("lookups", 99'000);
    Submit("checks", 1000);
    isolation_.Isolate("lookups", kStart + Ms(10'000));
    Assign(4);
    CPPUNIT_ASSERT_EQUAL(3, CountUsable("lookups", 4));
    CPPUNIT_ASSERT_EQUAL(1, CountUsable("checks", 4));
  }

  void FleetOfOneIsSharedByAll() {
    IsolateQuarter();
    Assign(1);
    CPPUNIT_ASSERT_EQUAL(1, CountUsable("lookups", 1));
    CPPUNIT_ASSERT_EQUAL(1, CountUsable("checks", 1));
  }

  void OtherServicesAreNotTouched() {
    IsolateQuarter();
    isolation_.OnSubmit("other", "scans", 1000, kStart);
    isolation_.Assign({{"review", Agents(4)}, {"other", {"x", "y"}}}, {}, kStart);
    CPPUNIT_ASSERT(isolation_.MayUse("scans", "x") && isolation_.MayUse("scans", "y"));
    CPPUNIT_ASSERT(!isolation_.MayUse("lookups", "x"));
  }

  // Guards against sizes that reflect the load of minutes ago.
  void DemandFollowsTheLoad() {
    IsolateQuarter();
    Submit("lookups", 100, kStart + Ms(60'000));
    Submit("checks", 100, kStart + Ms(60'000));
    isolation_.Isolate("lookups", kStart + Ms(90'000));
    Assign(10, {}, kStart + Ms(60'000));
    CPPUNIT_ASSERT_EQUAL(5, CountUsable("lookups", 10));
  }

  void IsolationEndsSecondsAfterTheLastCrash() {
    IsolateQuarter();
    Assign(11);
    const std::string own = *isolation_.isolated().at("lookups").begin();
    isolation_.Extend(own, kStart + Ms(14'000));
    Assign(11, {}, kStart + Ms(13'999));
    CPPUNIT_ASSERT(isolation_.IsIsolated("lookups"));
    Assign(11, {}, kStart + Ms(14'000));
    CPPUNIT_ASSERT(!isolation_.IsIsolated("lookups"));
    CPPUNIT_ASSERT_EQUAL(11, CountUsable("lookups", 11));
    CPPUNIT_ASSERT_EQUAL(11, CountUsable("checks", 11));
  }

  // Entries have slightly different views. Guards against choices that differ as a whole,
  // so that the entries together expose the whole fleet.
  void OneLostBackendServerMovesOneChoice() {
    IsolateQuarter();
    Assign(40);
    const std::set<std::string> before = isolation_.isolated().at("lookups");
    std::vector<std::string> fewer = Agents(40);
    std::erase(fewer, *before.begin());
    isolation_.Assign({{"review", fewer}}, {}, kStart);
    const std::set<std::string> after = isolation_.isolated().at("lookups");
    const auto kept = std::count_if(before.begin(), before.end(),
                                    [&](const std::string& it) { return after.contains(it); });
    CPPUNIT_ASSERT_EQUAL(static_cast<std::ptrdiff_t>(before.size()) - 1, kept);
  }

  // The first jobs of a new process are all of one route. Guards against a share of the
  // fleet that follows from a few jobs.
  void AdoptedRouteTakesOnlyWhatHasCrashed() {
    const std::set<std::string> crashed = {"agent-1", "agent-4"};
    isolation_.Adopt("lookups", kStart + Ms(9000));
    Submit("lookups", 1000);
    Assign(11, crashed);
    CPPUNIT_ASSERT(isolation_.isolated().at("lookups") == crashed);
    Submit("checks", 1000, kStart + Ms(2000));
    Submit("lookups", 1000, kStart + Ms(2000));
    Assign(11, crashed, kStart + Ms(2000));
    CPPUNIT_ASSERT(CountUsable("lookups", 11) > 2);
  }

  // Agents connect one after the other. Guards against jobs of the route on the first one,
  // whichever it is.
  void AdoptedRouteWaitsForWhatHasCrashed() {
    isolation_.Adopt("lookups", kStart + Ms(9000));
    Submit("lookups", 1000);
    Submit("checks", 1000);
    Assign(1);
    CPPUNIT_ASSERT(isolation_.IsPending("lookups", kStart));
    CPPUNIT_ASSERT(!isolation_.IsPending("checks", kStart));
    Assign(2, {"agent-1"});
    CPPUNIT_ASSERT(!isolation_.IsPending("lookups", kStart));
    CPPUNIT_ASSERT(isolation_.MayUse("lookups", "agent-1"));
    CPPUNIT_ASSERT(!isolation_.MayUse("lookups", "agent-0"));
    Assign(1);
    CPPUNIT_ASSERT(!isolation_.IsPending("lookups", kStart + Ms(2000)));
  }

  RouteIsolation isolation_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteIsolationTest);

}  // namespace
}  // namespace coltsfoottide::direct
