#include "line_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfoottide::daemon {
namespace {

constexpr LineBudget::Clock::time_point kNow{std::chrono::seconds(10)};

class LineBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LineBudgetTest);
  CPPUNIT_TEST(OrdinaryLinesDoNotUseTheBudgetOfImportantOnes);
  CPPUNIT_TEST(BudgetIsRenewedEachSecond);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a failure that is missing in the log because ordinary lines
  // used up the budget, and against dropped lines that are not counted.
  void OrdinaryLinesDoNotUseTheBudgetOfImportantOnes() {
    LineBudget budget({2, 1});
    CPPUNIT_ASSERT(budget.TryTake(false, kNow));
    CPPUNIT_ASSERT(budget.TryTake(false, kNow));
    CPPUNIT_ASSERT(!budget.TryTake(false, kNow));
    CPPUNIT_ASSERT(budget.TryTake(true, kNow));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, budget.TakeDropped());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget.TakeDropped());
  }

  // Guards against a log that writes nothing more after one busy second.
  void BudgetIsRenewedEachSecond() {
    LineBudget budget({1, 1});
    CPPUNIT_ASSERT(budget.TryTake(false, kNow));
    CPPUNIT_ASSERT(!budget.TryTake(false, kNow + std::chrono::milliseconds(999)));
    CPPUNIT_ASSERT(budget.TryTake(false, kNow + std::chrono::seconds(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineBudgetTest);

}  // namespace
}  // namespace coltsfoottide::daemon
