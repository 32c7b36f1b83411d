#include "coltsfoottide/direct/return_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

class ReturnScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReturnScheduleTest);
  CPPUNIT_TEST(RefusedCrowdReturnsAsRoomAppears);
  CPPUNIT_TEST(OldBookingsDelayNobody);
  CPPUNIT_TEST(WaitIsBounded);
  CPPUNIT_TEST_SUITE_END();

  // A refused crowd: guards against all of them returning at once, which would
  // be the same overload again.
  void RefusedCrowdReturnsAsRoomAppears() {
    ReturnSchedule schedule;
    // Each job keeps the whole capacity busy for 100 ms.
    const core::Duration first = schedule.Book(6'400'000, 64'000, Ms(500), kStart);
    const core::Duration second = schedule.Book(6'400'000, 64'000, Ms(500), kStart);
    CPPUNIT_ASSERT(first >= Ms(600));
    CPPUNIT_ASSERT(second >= first + Ms(100));
  }

  // Guards against long waits after an overload that is over.
  void OldBookingsDelayNobody() {
    ReturnSchedule schedule;
    for (int i = 0; i < 50; ++i) schedule.Book(6'400'000, 64'000, Ms(0), kStart);
    CPPUNIT_ASSERT(schedule.Book(64'000, 64'000, Ms(0), kStart + Ms(6000)) < Ms(100));
  }

  // Guards against sending callers away for good.
  void WaitIsBounded() {
    ReturnSchedule schedule;
    core::Duration last{};
    for (int i = 0; i < 2000; ++i) last = schedule.Book(6'400'000, 64'000, Ms(0), kStart);
    CPPUNIT_ASSERT(last <= std::chrono::seconds(30));
    CPPUNIT_ASSERT(schedule.Book(1, 0, Ms(0), kStart) > core::Duration::zero());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnScheduleTest);

}  // namespace
}  // namespace coltsfoottide::direct
