#include "line_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfoottide::daemon {
namespace {

constexpr LineBudget::Clock::time_point kNow{std::chrono::seconds(10)};

class LineBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LineBudgetTest);
  CPPUNIT_TEST(ManySuccessesCannotHideAFailure);
  CPPUNIT_TEST(NextSecondHasANewBudget);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a failure that is missing because of ordinary lines, and
  // against lines that are left out without a trace.
  void ManySuccessesCannotHideAFailure() {
    LineBudget budget({2, 1});
    CPPUNIT_ASSERT(budget.Take(false, kNow));
    CPPUNIT_ASSERT(budget.Take(false, kNow));
    CPPUNIT_ASSERT(!budget.Take(false, kNow));
    CPPUNIT_ASSERT(budget.Take(true, kNow));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, budget.TakeLeftOut());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget.TakeLeftOut());
  }

  // Guards against a log that stays silent after one busy second.
  void NextSecondHasANewBudget() {
    LineBudget budget({1, 1});
    CPPUNIT_ASSERT(budget.Take(false, kNow));
    CPPUNIT_ASSERT(!budget.Take(false, kNow + std::chrono::milliseconds(999)));
    CPPUNIT_ASSERT(budget.Take(false, kNow + std::chrono::seconds(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineBudgetTest);

}  // namespace
}  // namespace coltsfoottide::daemon
