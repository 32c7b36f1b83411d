#include "coltsfoottide/direct/state_interval.h"

#include <cppunit/extensions/HelperMacros.h>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

class StateIntervalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StateIntervalTest);
  CPPUNIT_TEST(StateRateIsBoundedForManyEntries);
  CPPUNIT_TEST(FewEntriesSeeAFreshState);
  CPPUNIT_TEST_SUITE_END();

  static std::int64_t StatesPerSecond(std::size_t entries) {
    return static_cast<std::int64_t>(entries) * Ms(1000).count() /
           MinStateInterval(entries).count();
  }

  // Many entries, and a backend server whose state changes all the time. Guards
  // against agent traffic that grows with the number of entries.
  void StateRateIsBoundedForManyEntries() {
    for (const std::size_t entries : {1, 3, 12}) {
      CPPUNIT_ASSERT(StatesPerSecond(entries) <= 200);
    }
    CPPUNIT_ASSERT(StatesPerSecond(24) <= 100);
    CPPUNIT_ASSERT(StatesPerSecond(120) <= 20);
  }

  // Guards against views that are older than a short task.
  void FewEntriesSeeAFreshState() { CPPUNIT_ASSERT(MinStateInterval(4) <= Ms(20)); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateIntervalTest);

}  // namespace
}  // namespace coltsfoottide::direct
