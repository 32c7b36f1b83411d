#include "coltsfoottide/direct/retry_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

class RetryScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryScheduleTest);
  CPPUNIT_TEST(RefusedCallersReturnOneAfterTheOther);
  CPPUNIT_TEST(ExpiredReservationsAddNoDelay);
  CPPUNIT_TEST(RetryDelayIsBounded);
  CPPUNIT_TEST_SUITE_END();

  // Guards against refused callers that all retry at once, which would repeat
  // the overload.
  void RefusedCallersReturnOneAfterTheOther() {
    RetrySchedule schedule;
    // Each job keeps the whole capacity busy for 100 ms.
    const core::Duration first = schedule.ScheduleRetry(6'400'000, 64'000, Ms(500), kStart);
    const core::Duration second = schedule.ScheduleRetry(6'400'000, 64'000, Ms(500), kStart);
    CPPUNIT_ASSERT(first >= Ms(600));
    CPPUNIT_ASSERT(second >= first + Ms(100));
  }

  // Guards against long retry delays after an overload has ended.
  void ExpiredReservationsAddNoDelay() {
    RetrySchedule schedule;
    for (int i = 0; i < 50; ++i) schedule.ScheduleRetry(6'400'000, 64'000, Ms(0), kStart);
    CPPUNIT_ASSERT(schedule.ScheduleRetry(64'000, 64'000, Ms(0), kStart + Ms(6000)) < Ms(100));
  }

  // Guards against retry delays that grow without bound.
  void RetryDelayIsBounded() {
    RetrySchedule schedule;
    core::Duration last{};
    for (int i = 0; i < 2000; ++i) last = schedule.ScheduleRetry(6'400'000, 64'000, Ms(0), kStart);
    CPPUNIT_ASSERT(last <= std::chrono::seconds(30));
    CPPUNIT_ASSERT(schedule.ScheduleRetry(1, 0, Ms(0), kStart) > core::Duration::zero());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryScheduleTest);

}  // namespace
}  // namespace coltsfoottide::direct
