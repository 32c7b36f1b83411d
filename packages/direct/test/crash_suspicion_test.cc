#include "coltsfoottide/direct/crash_suspicion.h"

#include <cppunit/extensions/HelperMacros.h>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

class CrashSuspicionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashSuspicionTest);
  CPPUNIT_TEST(TasksOfTheRouteWithASimilarTimeAreSuspected);
  CPPUNIT_TEST(SuspicionEnds);
  CPPUNIT_TEST(OldNewsDoesNotProlongIt);
  CPPUNIT_TEST_SUITE_END();

  // Guards against suspecting every task of a crashed backend server.
  void TasksOfTheRouteWithASimilarTimeAreSuspected() {
    CrashSuspicion suspicion;
    CPPUNIT_ASSERT(!suspicion.IsSuspect("lookups", Ms(20), kStart));
    suspicion.OnCause("lookups", Ms(25), kStart);
    CPPUNIT_ASSERT(suspicion.IsSuspect("lookups", Ms(50), kStart));
    CPPUNIT_ASSERT(!suspicion.IsSuspect("lookups", Ms(51), kStart));
    CPPUNIT_ASSERT(!suspicion.IsSuspect("checks", Ms(20), kStart));
    suspicion.OnCause("lookups", Ms(40), kStart + Ms(10));
    CPPUNIT_ASSERT(suspicion.IsSuspect("lookups", Ms(80), kStart + Ms(10)));
    suspicion.OnCause("lookups", Ms(20), kStart + Ms(20));
    CPPUNIT_ASSERT(suspicion.IsSuspect("lookups", Ms(80), kStart + Ms(20)));
  }

  // Guards against a route that is under suspicion for good.
  void SuspicionEnds() {
    CrashSuspicion suspicion;
    suspicion.OnCause("lookups", Ms(200), kStart);
    suspicion.Extend("lookups", kStart + Ms(9000));
    suspicion.Extend("checks", kStart + Ms(9000));
    CPPUNIT_ASSERT(suspicion.IsSuspect("lookups", Ms(20), kStart + Ms(18'000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, suspicion.Routes(kStart + Ms(18'000)).size());
    CPPUNIT_ASSERT(!suspicion.IsSuspect("lookups", Ms(20), kStart + Ms(19'000)));
    CPPUNIT_ASSERT(suspicion.Routes(kStart + Ms(19'000)).empty());
    // The next finding begins anew.
    suspicion.OnCause("lookups", Ms(20), kStart + Ms(20'000));
    CPPUNIT_ASSERT(!suspicion.IsSuspect("lookups", Ms(200), kStart + Ms(20'000)));
  }

  // Another entry repeats with its hello what it found some seconds ago.
  void OldNewsDoesNotProlongIt() {
    CrashSuspicion suspicion;
    suspicion.OnCause("lookups", Ms(20), kStart);
    suspicion.OnCause("lookups", Ms(20), kStart - Ms(5000));
    CPPUNIT_ASSERT(suspicion.IsSuspect("lookups", Ms(20), kStart + Ms(9999)));
    CPPUNIT_ASSERT(!suspicion.IsSuspect("lookups", Ms(20), kStart + Ms(10'000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashSuspicionTest);

}  // namespace
}  // namespace coltsfoottide::direct
