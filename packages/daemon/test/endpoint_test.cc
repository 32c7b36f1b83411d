#include "coltsfoottide/daemon/endpoint.h"

#include <cppunit/extensions/HelperMacros.h>

#include "address.h"

namespace coltsfoottide::daemon {
namespace {

class EndpointTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointTest);
  CPPUNIT_TEST(ParsesEveryEndpointThatSettingsAccept);
  CPPUNIT_TEST(RejectsInvalidEndpoints);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a setting that passes its check and cannot be parsed when
  // the daemon opens the socket.
  void ParsesEveryEndpointThatSettingsAccept() {
    CPPUNIT_ASSERT(IsEndpoint("[::1]:8080", true));
    CPPUNIT_ASSERT_EQUAL(std::string("::1"), ParseEndpoint("[::1]:8080")->address);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{8080}, ParseEndpoint("[::1]:8080")->port);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), ParseEndpoint("10.0.0.1:0")->address);
    CPPUNIT_ASSERT(IsEndpoint("10.0.0.1:0", true));
    CPPUNIT_ASSERT(!IsEndpoint("10.0.0.1:0", false));
  }

  void RejectsInvalidEndpoints() {
    for (const char* text : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:x", "10.0.0.1:65536", "host:1",
                             "::1:80", "[::1]", "[10.0.0.1]:80"}) {
      CPPUNIT_ASSERT(!ParseEndpoint(text));
      CPPUNIT_ASSERT(!IsEndpoint(text, true));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointTest);

}  // namespace
}  // namespace coltsfoottide::daemon
