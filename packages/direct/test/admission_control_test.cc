#include "coltsfoottide/direct/admission_control.h"

#include <cppunit/extensions/HelperMacros.h>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

class AdmissionControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionControlTest);
  CPPUNIT_TEST(ShortestSlackBoundsTheDelayOfAllKinds);
  CPPUNIT_TEST(LongJobsAloneMayWaitLonger);
  CPPUNIT_TEST(JobWithoutSlackDoesNotRefuseOthers);
  CPPUNIT_TEST_SUITE_END();

  // Guards against long jobs that fill the queues in front of short ones.
  void ShortestSlackBoundsTheDelayOfAllKinds() {
    AdmissionControl admission;
    admission.OnSubmit(Ms(200), kStart);
    admission.OnSubmit(Ms(2000), kStart + Ms(10));
    CPPUNIT_ASSERT(admission.LongestDelay() <= Ms(100));
    admission.OnSubmit(Ms(2000), kStart + Ms(1010));
    CPPUNIT_ASSERT(admission.LongestDelay() <= Ms(100));
  }

  // Guards against a bound that stays after the short jobs have ended.
  void LongJobsAloneMayWaitLonger() {
    AdmissionControl admission;
    admission.OnSubmit(Ms(200), kStart);
    admission.OnSubmit(Ms(2000), kStart + Ms(1010));
    admission.OnSubmit(Ms(2000), kStart + Ms(2020));
    CPPUNIT_ASSERT(admission.LongestDelay() > Ms(100));
    admission.OnSubmit(Ms(200), kStart + Ms(2030));
    // The short job is more than two intervals old.
    admission.OnSubmit(Ms(2000), kStart + Ms(9000));
    CPPUNIT_ASSERT(admission.LongestDelay() > Ms(100));
  }

  // Guards against refusing everything because one kind can never be in time.
  void JobWithoutSlackDoesNotRefuseOthers() {
    AdmissionControl admission;
    admission.OnSubmit(Ms(-500), kStart);
    CPPUNIT_ASSERT(admission.LongestDelay() > Ms(30));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionControlTest);

}  // namespace
}  // namespace coltsfoottide::direct
