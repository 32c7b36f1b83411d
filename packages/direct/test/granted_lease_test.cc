#include "coltsfoottide/direct/granted_lease.h"

#include <cppunit/extensions/HelperMacros.h>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

constexpr core::Duration kClockError = std::chrono::milliseconds(30);

class GrantedLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GrantedLeaseTest);
  CPPUNIT_TEST(CallInProgressMayHaveArrived);
  CPPUNIT_TEST(RefusedCallBringsNothing);
  CPPUNIT_TEST(EarlierEndDoesNotShortenTheLease);
  CPPUNIT_TEST(NextIncarnationHasNoLeaseOfTheEarlierOne);
  CPPUNIT_TEST_SUITE_END();

  // Guards against taking runs as over that a call in progress, or one without an answer, keeps.
  void CallInProgressMayHaveArrived() {
    GrantedLease lease(kClockError);
    const std::uint64_t call = lease.OnSent(kStart + Ms(1000));
    CPPUNIT_ASSERT(lease.LatestEnd() == kStart + Ms(1000));
    CPPUNIT_ASSERT(!lease.HasEnded(kStart + Ms(1030)));
    lease.OnSettled(call);
    CPPUNIT_ASSERT(!lease.HasEnded(kStart + Ms(1030)));
    CPPUNIT_ASSERT(lease.HasEnded(kStart + Ms(1031)));
  }

  // Guards against waiting for a lease that was never granted.
  void RefusedCallBringsNothing() {
    GrantedLease lease(kClockError);
    lease.OnSettled(lease.OnSent(kStart + Ms(1000)));
    lease.OnRefused(lease.OnSent(kStart + Ms(1500)));
    CPPUNIT_ASSERT(lease.LatestEnd() == kStart + Ms(1000));
    CPPUNIT_ASSERT(lease.HasEnded(kStart + Ms(1031)));
  }

  // Guards against counting on an end that a backend server ignores: it never shortens a lease.
  void EarlierEndDoesNotShortenTheLease() {
    GrantedLease lease(kClockError);
    lease.OnSettled(lease.OnSent(kStart + Ms(1000)));
    lease.OnSettled(lease.OnSent(kStart + Ms(800)));
    CPPUNIT_ASSERT(!lease.HasEnded(kStart + Ms(1000)));
  }

  // Guards against runs that cannot start at a new incarnation because of the lease of the one
  // before, and against taking a run as over that is still being stopped.
  void NextIncarnationHasNoLeaseOfTheEarlierOne() {
    GrantedLease lease(kClockError);
    const std::uint64_t call = lease.OnSent(kStart + Ms(1000));
    lease.OnNextIncarnation();
    CPPUNIT_ASSERT(lease.LatestEnd() == core::TimePoint());
    CPPUNIT_ASSERT(!lease.HasEnded(kStart + Ms(1000)));
    lease.OnSettled(call);
    CPPUNIT_ASSERT(lease.LatestEnd() == core::TimePoint());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GrantedLeaseTest);

}  // namespace
}  // namespace coltsfoottide::direct
