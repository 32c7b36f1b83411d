#include "log_rate_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfoottide::daemon {
namespace {

constexpr LogRateLimiter::Clock::time_point kNow{std::chrono::seconds(10)};

class LogRateLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogRateLimiterTest);
  CPPUNIT_TEST(OrdinaryLinesDoNotUseTheBudgetOfImportantOnes);
  CPPUNIT_TEST(BudgetIsRenewedEachSecond);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a failure that is missing in the log because ordinary lines
  // used up the budget, and against dropped lines that are not counted.
  void OrdinaryLinesDoNotUseTheBudgetOfImportantOnes() {
    LogRateLimiter limiter({2, 1});
    CPPUNIT_ASSERT(limiter.TryTake(false, kNow));
    CPPUNIT_ASSERT(limiter.TryTake(false, kNow));
    CPPUNIT_ASSERT(!limiter.TryTake(false, kNow));
    CPPUNIT_ASSERT(limiter.TryTake(true, kNow));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, limiter.TakeDropped());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, limiter.TakeDropped());
  }

  // Guards against a log that writes nothing more after one busy second.
  void BudgetIsRenewedEachSecond() {
    LogRateLimiter limiter({1, 1});
    CPPUNIT_ASSERT(limiter.TryTake(false, kNow));
    CPPUNIT_ASSERT(!limiter.TryTake(false, kNow + std::chrono::milliseconds(999)));
    CPPUNIT_ASSERT(limiter.TryTake(false, kNow + std::chrono::seconds(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogRateLimiterTest);

}  // namespace
}  // namespace coltsfoottide::daemon
