#include "coltsfoottide/direct/dial_backoff.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

class DialBackoffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DialBackoffTest);
  CPPUNIT_TEST(ReachesPeersThatStartTenthsOfASecondLater);
  CPPUNIT_TEST(DialsAnAbsentPeerRarely);
  CPPUNIT_TEST(DialsAtOnceAfterAConnectionHasClosed);
  CPPUNIT_TEST_SUITE_END();

  // Times of the attempts within `length`, in milliseconds.
  static std::vector<int> Attempts(DialBackoff& backoff, int length) {
    std::vector<int> attempts;
    for (int ms = 0; ms < length; ++ms) {
      if (!backoff.IsDue(kStart + Ms(ms))) continue;
      backoff.OnAttempt(kStart + Ms(ms));
      attempts.push_back(ms);
    }
    return attempts;
  }

 public:
  // Guards against half a second without service after all machines have lost power: an
  // entry does not begin jobs before it is connected to the entries that it knows.
  void ReachesPeersThatStartTenthsOfASecondLater() {
    DialBackoff backoff(Ms(500));
    const std::vector<int> attempts = Attempts(backoff, 350);
    CPPUNIT_ASSERT(!attempts.empty());
    int last = 0;
    for (const int it : attempts) {
      CPPUNIT_ASSERT(it - last <= 50);
      last = it;
    }
    CPPUNIT_ASSERT(last >= 300);
  }

  // Guards against a load of connection attempts to machines that are gone for good.
  void DialsAnAbsentPeerRarely() {
    DialBackoff backoff(Ms(500));
    Attempts(backoff, 5'000);
    DialBackoff later = backoff;
    std::size_t n = 0;
    for (int ms = 5'000; ms < 15'000; ++ms) {
      if (!later.IsDue(kStart + Ms(ms))) continue;
      later.OnAttempt(kStart + Ms(ms));
      ++n;
    }
    CPPUNIT_ASSERT(n <= 20);
  }

  // Guards against a pause after a connection that was replaced, during which the peer
  // stops this process's runs.
  void DialsAtOnceAfterAConnectionHasClosed() {
    DialBackoff backoff(Ms(1000));
    Attempts(backoff, 10'000);
    backoff.OnConnected();
    CPPUNIT_ASSERT(backoff.IsDue(kStart + Ms(10'000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DialBackoffTest);

}  // namespace
}  // namespace coltsfoottide::direct
