#include "coltsfoottide/direct/crashing_routes.h"

#include <cppunit/extensions/HelperMacros.h>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

class CrashingRoutesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingRoutesTest);
  CPPUNIT_TEST(FindingCountsForSeconds);
  CPPUNIT_TEST(OldNewsDoesNotProlongIt);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a route that may be isolated for good.
  void FindingCountsForSeconds() {
    CrashingRoutes routes;
    CPPUNIT_ASSERT(routes.Recent(kStart).empty());
    routes.OnFound("lookups", kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, routes.Recent(kStart + Ms(9999)).size());
    CPPUNIT_ASSERT(routes.Recent(kStart + Ms(10'000)).empty());
    routes.OnFound("lookups", kStart + Ms(12'000));
    CPPUNIT_ASSERT(routes.Recent(kStart + Ms(13'000)).at("lookups") == kStart + Ms(12'000));
  }

  // Another entry repeats with its hello what it found some seconds ago.
  void OldNewsDoesNotProlongIt() {
    CrashingRoutes routes;
    routes.OnFound("lookups", kStart);
    routes.OnFound("lookups", kStart - Ms(5000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, routes.Recent(kStart + Ms(9999)).size());
    CPPUNIT_ASSERT(routes.Recent(kStart + Ms(10'000)).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRoutesTest);

}  // namespace
}  // namespace coltsfoottide::direct
