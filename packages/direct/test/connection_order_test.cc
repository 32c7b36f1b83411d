#include "coltsfoottide/direct/connection_order.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

class ConnectionOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionOrderTest);
  CPPUNIT_TEST(HelloOfAnEarlierConnectionIsOutdated);
  CPPUNIT_TEST(HelloOfAnEarlierProcessIsOutdated);
  CPPUNIT_TEST(AgentThatNumbersNothingIsAccepted);
  CPPUNIT_TEST(OldConnectionsAreForgotten);
  CPPUNIT_TEST_SUITE_END();

 private:
  // Guards against taking a list of runs for the present one that was sent before it.
  void HelloOfAnEarlierConnectionIsOutdated() {
    ConnectionOrder order;
    CPPUNIT_ASSERT(order.OnHello("a", 1, 2, kStart));
    CPPUNIT_ASSERT(!order.OnHello("a", 1, 1, kStart + Ms(10)));
    CPPUNIT_ASSERT(!order.OnHello("a", 1, 2, kStart + Ms(20)));
    CPPUNIT_ASSERT(order.OnHello("a", 1, 3, kStart + Ms(30)));
    CPPUNIT_ASSERT(order.OnHello("b", 1, 1, kStart + Ms(30)));
  }

  // The same when the agent has restarted; its time of day may have been set back.
  void HelloOfAnEarlierProcessIsOutdated() {
    ConnectionOrder order;
    CPPUNIT_ASSERT(order.OnHello("a", 20, 7, kStart));
    CPPUNIT_ASSERT(order.OnHello("a", 10, 1, kStart + Ms(10)));
    CPPUNIT_ASSERT(!order.OnHello("a", 20, 8, kStart + Ms(20)));
    CPPUNIT_ASSERT(order.OnHello("a", 10, 2, kStart + Ms(30)));
  }

  // Guards against an agent of an earlier version that never connects again.
  void AgentThatNumbersNothingIsAccepted() {
    ConnectionOrder order;
    CPPUNIT_ASSERT(order.OnHello("a", 1, 0, kStart));
    CPPUNIT_ASSERT(order.OnHello("a", 1, 0, kStart + Ms(10)));
  }

  // Guards against memory that grows with each agent that has ever been there.
  void OldConnectionsAreForgotten() {
    ConnectionOrder order;
    order.OnHello("a", 1, 1, kStart);
    order.Forget(kStart + std::chrono::seconds(29));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, order.size());
    order.Forget(kStart + std::chrono::seconds(31));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, order.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionOrderTest);

}  // namespace
}  // namespace coltsfoottide::direct
