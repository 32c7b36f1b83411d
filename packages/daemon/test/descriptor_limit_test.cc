#include "descriptor_limit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfoottide::daemon {

class DescriptorLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DescriptorLimitTest);
  CPPUNIT_TEST(CallersLeaveDescriptorsForLinks);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an entry whose callers hold all descriptors, so that it reaches neither
  // agents nor the store.
  void CallersLeaveDescriptorsForLinks() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{3075}, MaxCallerConnections(4100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, MaxCallerConnections(4));
    CPPUNIT_ASSERT(DescriptorLimit() > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DescriptorLimitTest);

}  // namespace coltsfoottide::daemon
