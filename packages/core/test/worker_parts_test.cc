#include <cppunit/extensions/HelperMacros.h>

#include "coltsfoottide/core/start_permission.h"
#include "concurrency_limit.h"
#include "probation.h"
#include "ramp_up.h"
#include "start_window.h"

namespace coltsfoottide::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class WorkerPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerPartsTest);
  CPPUNIT_TEST(PermitsOnlyWithFoldedEvidence);
  CPPUNIT_TEST(HalvesTheLimitOncePerBurst);
  CPPUNIT_TEST(OpensSlotsInSteps);
  CPPUNIT_TEST(DoublesTheProbationDelay);
  CPPUNIT_TEST(TellsRepeatedFromOvertakenStarts);
  CPPUNIT_TEST_SUITE_END();

  void PermitsOnlyWithFoldedEvidence() {
    StartPermission permission;
    CPPUNIT_ASSERT(!permission.Permits(at));
    // Evidence counts only once the configuration it speaks of is folded.
    permission.OnEvidence(at, 5);
    CPPUNIT_ASSERT(!permission.Permits(at));
    permission.OnConfig(5, false);
    CPPUNIT_ASSERT(permission.Permits(at + seconds(3)));
    CPPUNIT_ASSERT(!permission.Permits(at + seconds(3) + Duration(1)));
    permission.OnEvidence(at - seconds(1), 5);
    CPPUNIT_ASSERT(permission.Permits(at + seconds(3)));
    permission.OnConfig(6, true);
    permission.OnConfig(5, false);
    CPPUNIT_ASSERT(!permission.Permits(at));
    permission.OnConfig(7, false);
    CPPUNIT_ASSERT(permission.Permits(at));
  }

  void HalvesTheLimitOncePerBurst() {
    ConcurrencyLimit limit(8);
    limit.OnRefusal(at, at + milliseconds(1));
    limit.OnRefusal(at, at + milliseconds(2));
    CPPUNIT_ASSERT_EQUAL(4U, limit.Value(at + milliseconds(2)));
    limit.OnSuccess(at + milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(4U, limit.Value(at + seconds(1)));
    limit.OnSuccess(at + milliseconds(1001));
    CPPUNIT_ASSERT_EQUAL(5U, limit.Value(at + seconds(2)));
    limit.SetSlots(1);
    limit.OnRefusal(at + seconds(2), at + seconds(2));
    CPPUNIT_ASSERT_EQUAL(0U, limit.Value(at + seconds(2)));
    CPPUNIT_ASSERT_EQUAL(1U, limit.Value(at + seconds(3)));
  }

  void OpensSlotsInSteps() {
    RampUp ramp(seconds(2));
    CPPUNIT_ASSERT_EQUAL(8U, ramp.Open(8, at));
    ramp.Begin(at);
    CPPUNIT_ASSERT_EQUAL(2U, ramp.Open(8, at));
    CPPUNIT_ASSERT_EQUAL(1U, ramp.Open(1, at));
    CPPUNIT_ASSERT_EQUAL(4U, ramp.Open(8, at + seconds(1)));
    CPPUNIT_ASSERT_EQUAL(8U, ramp.Open(8, at + seconds(2)));
  }

  void DoublesTheProbationDelay() {
    Probation probation;
    probation.SetEjected(true, at);
    CPPUNIT_ASSERT_EQUAL(0U, probation.Open(8, at + milliseconds(4999)));
    CPPUNIT_ASSERT_EQUAL(1U, probation.Open(8, at + seconds(5)));
    for (int n = 0; n < 3; ++n) {
      probation.OnStart(at + seconds(5));
    }
    CPPUNIT_ASSERT_EQUAL(0U, probation.Open(8, at + seconds(14)));
    CPPUNIT_ASSERT_EQUAL(1U, probation.Open(8, at + seconds(15)));
    probation.SetEjected(false, at);
    CPPUNIT_ASSERT_EQUAL(8U, probation.Open(8, at));
  }

  void TellsRepeatedFromOvertakenStarts() {
    StartWindow window;
    window.Add(10, true);
    window.Add(8, false);
    CPPUNIT_ASSERT(window.Find(9) == StartWindow::Seen::kNew);
    CPPUNIT_ASSERT(window.Find(10) == StartWindow::Seen::kStarted);
    CPPUNIT_ASSERT(window.Find(8) == StartWindow::Seen::kRefused);
    window.Add(10 + 256, true);
    CPPUNIT_ASSERT(window.Find(10) == StartWindow::Seen::kTooOld);
    window.RaiseFloor(300);
    CPPUNIT_ASSERT(window.Find(300) == StartWindow::Seen::kTooOld);
    CPPUNIT_ASSERT(window.Find(301) == StartWindow::Seen::kNew);
  }

  const TimePoint at{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerPartsTest);

}  // namespace
}  // namespace coltsfoottide::core
