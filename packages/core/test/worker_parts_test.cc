#include <cppunit/extensions/HelperMacros.h>

#include "coltsfoottide/core/start_permission.h"
#include "concurrency_limit.h"
#include "probation.h"
#include "replay_window.h"
#include "slow_start.h"

namespace coltsfoottide::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

class WorkerPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerPartsTest);
  CPPUNIT_TEST(PermitsOnlyWithAppliedEvidence);
  CPPUNIT_TEST(HalvesTheLimitOncePerBurst);
  CPPUNIT_TEST(OpensSlotsInSteps);
  CPPUNIT_TEST(DoublesTheProbationDelay);
  CPPUNIT_TEST(DistinguishesRepeatedFromReorderedStarts);
  CPPUNIT_TEST_SUITE_END();

  void PermitsOnlyWithAppliedEvidence() {
    StartPermission permission;
    CPPUNIT_ASSERT(!permission.Permits(kStart));
    // Evidence counts only once the configuration that it covers is applied.
    permission.OnEvidence(kStart, 5);
    CPPUNIT_ASSERT(!permission.Permits(kStart));
    permission.OnConfig(5, false);
    CPPUNIT_ASSERT(permission.Permits(kStart + seconds(3)));
    CPPUNIT_ASSERT(!permission.Permits(kStart + seconds(3) + Duration(1)));
    permission.OnEvidence(kStart - seconds(1), 5);
    CPPUNIT_ASSERT(permission.Permits(kStart + seconds(3)));
    permission.OnConfig(6, true);
    permission.OnConfig(5, false);
    CPPUNIT_ASSERT(!permission.Permits(kStart));
    permission.OnConfig(7, false);
    CPPUNIT_ASSERT(permission.Permits(kStart));
  }

  void HalvesTheLimitOncePerBurst() {
    ConcurrencyLimit limit(8);
    limit.OnRefusal(kStart, kStart + milliseconds(1));
    limit.OnRefusal(kStart, kStart + milliseconds(2));
    CPPUNIT_ASSERT_EQUAL(4U, limit.Value(kStart + milliseconds(2)));
    limit.OnSuccess(kStart + milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(4U, limit.Value(kStart + seconds(1)));
    limit.OnSuccess(kStart + milliseconds(1001));
    CPPUNIT_ASSERT_EQUAL(5U, limit.Value(kStart + seconds(2)));
    limit.SetSlots(1);
    limit.OnRefusal(kStart + seconds(2), kStart + seconds(2));
    CPPUNIT_ASSERT_EQUAL(0U, limit.Value(kStart + seconds(2)));
    CPPUNIT_ASSERT_EQUAL(1U, limit.Value(kStart + seconds(3)));
  }

  void OpensSlotsInSteps() {
    SlowStart slow_start(seconds(2));
    CPPUNIT_ASSERT_EQUAL(8U, slow_start.OpenSlots(8, kStart));
    slow_start.Begin(kStart);
    CPPUNIT_ASSERT_EQUAL(2U, slow_start.OpenSlots(8, kStart));
    CPPUNIT_ASSERT_EQUAL(1U, slow_start.OpenSlots(1, kStart));
    CPPUNIT_ASSERT_EQUAL(4U, slow_start.OpenSlots(8, kStart + seconds(1)));
    CPPUNIT_ASSERT_EQUAL(8U, slow_start.OpenSlots(8, kStart + seconds(2)));
  }

  void DoublesTheProbationDelay() {
    Probation probation;
    probation.SetEjected(true, kStart);
    CPPUNIT_ASSERT_EQUAL(0U, probation.OpenSlots(8, kStart + milliseconds(4999)));
    CPPUNIT_ASSERT_EQUAL(1U, probation.OpenSlots(8, kStart + seconds(5)));
    for (int n = 0; n < 3; ++n) {
      probation.OnStart(kStart + seconds(5));
    }
    CPPUNIT_ASSERT_EQUAL(0U, probation.OpenSlots(8, kStart + seconds(14)));
    CPPUNIT_ASSERT_EQUAL(1U, probation.OpenSlots(8, kStart + seconds(15)));
    probation.SetEjected(false, kStart);
    CPPUNIT_ASSERT_EQUAL(8U, probation.OpenSlots(8, kStart));
  }

  void DistinguishesRepeatedFromReorderedStarts() {
    ReplayWindow window;
    window.Add(10, true);
    window.Add(8, false);
    CPPUNIT_ASSERT(window.Find(9) == ReplayWindow::Seen::kNew);
    CPPUNIT_ASSERT(window.Find(10) == ReplayWindow::Seen::kStarted);
    CPPUNIT_ASSERT(window.Find(8) == ReplayWindow::Seen::kRefused);
    window.Add(10 + 256, true);
    CPPUNIT_ASSERT(window.Find(10) == ReplayWindow::Seen::kTooOld);
    window.RaiseFloor(300);
    CPPUNIT_ASSERT(window.Find(300) == ReplayWindow::Seen::kTooOld);
    CPPUNIT_ASSERT(window.Find(301) == ReplayWindow::Seen::kNew);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerPartsTest);

}  // namespace
}  // namespace coltsfoottide::core
