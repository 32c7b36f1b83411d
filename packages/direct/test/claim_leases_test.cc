#include "coltsfoottide/direct/claim_leases.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "coltsfoottide/direct/time_bounds.h"
#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

class ClaimLeasesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimLeasesTest);
  CPPUNIT_TEST(LeaseLastsFromTheLatestConfirmation);
  CPPUNIT_TEST(EarlierConfirmationShortensNothing);
  CPPUNIT_TEST(LaterLeaseHidesNoEarlierEnd);
  CPPUNIT_TEST(RemovedLeaseDoesNotEnd);
  CPPUNIT_TEST_SUITE_END();

 private:
  using Jobs = std::vector<std::string>;

  // Guards against a job that is given up although its claim was confirmed again, and against a
  // lease that does not end.
  void LeaseLastsFromTheLatestConfirmation() {
    leases_.Extend("j", kStart);
    leases_.Extend("j", kStart + Ms(500));
    CPPUNIT_ASSERT(leases_.TakeExpired(kStart + Ms(499) + kClaimLease).empty());
    CPPUNIT_ASSERT(leases_.TakeExpired(kStart + Ms(500) + kClaimLease) == Jobs{"j"});
    CPPUNIT_ASSERT(leases_.TakeExpired(kStart + Ms(5000)).empty());
  }

  // Guards against a job that is given up because confirmations arrive out of order.
  void EarlierConfirmationShortensNothing() {
    leases_.Extend("j", kStart + Ms(500));
    leases_.Extend("j", kStart);
    CPPUNIT_ASSERT(!leases_.EndsBy("j", kStart + Ms(499) + kClaimLease));
    CPPUNIT_ASSERT(leases_.EndsBy("j", kStart + Ms(500) + kClaimLease));
    CPPUNIT_ASSERT(leases_.TakeExpired(kStart + kClaimLease).empty());
  }

  // Guards against a lease that goes on because the leases are not looked at when it ends.
  void LaterLeaseHidesNoEarlierEnd() {
    leases_.Extend("late", kStart + Ms(300));
    leases_.Extend("early", kStart);
    leases_.Extend("extended", kStart);
    leases_.Extend("extended", kStart + Ms(100));
    CPPUNIT_ASSERT(leases_.TakeExpired(kStart + kClaimLease) == Jobs{"early"});
    CPPUNIT_ASSERT(leases_.TakeExpired(kStart + Ms(100) + kClaimLease) == Jobs{"extended"});
    CPPUNIT_ASSERT(leases_.TakeExpired(kStart + Ms(300) + kClaimLease) == Jobs{"late"});
  }

  // Guards against a job that is reported as expired after it has ended.
  void RemovedLeaseDoesNotEnd() {
    leases_.Extend("j", kStart);
    leases_.Remove("j");
    CPPUNIT_ASSERT(!leases_.EndsBy("j", kStart + Ms(5000)));
    CPPUNIT_ASSERT(leases_.TakeExpired(kStart + Ms(5000)).empty());
  }

  ClaimLeases leases_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimLeasesTest);

}  // namespace
}  // namespace coltsfoottide::direct
