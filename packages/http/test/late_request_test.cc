#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "coltsfoottide/http/server.h"
#include "event_loop.h"

namespace coltsfoottide::http {
namespace {

// Longer than it takes to see that a peer has closed.
constexpr std::chrono::milliseconds kHandlingTime{300};

// A server that stands still reads requests late.
class LateRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateRequestTest);
  CPPUNIT_TEST(RequestOfAPeerThatHasClosedIsNotReported);
  CPPUNIT_TEST(RequestOfAPeerThatHasOnlyEndedItsInputIsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    EnsureApplication();
    requests_ = 0;
    abandoned_ = 0;
    ServerCallbacks callbacks;
    callbacks.on_request = [this](const Request&) { ++requests_; };
    callbacks.on_abandoned = [this](std::uint64_t) { ++abandoned_; };
    server_ = std::get<0>(MakeServer("127.0.0.1", 0, {}, std::move(callbacks)));
  }

 private:
  // Connects and sends a request, while the server's event loop does not run.
  int SendRequest() const {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server_->port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(
        0, ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    const std::string text = "POST /v1/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na";
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()),
                         ::send(descriptor, text.data(), text.size(), 0));
    return descriptor;
  }

  // The caller has given up before its request is read, and may have sent it to another
  // server since. Guards against doing its work twice at the same time.
  void RequestOfAPeerThatHasClosedIsNotReported() {
    ::close(SendRequest());
    RunFor(kHandlingTime);
    CPPUNIT_ASSERT_EQUAL(0, requests_);
  }

  // Guards against dropping callers that shut down their sending direction after the
  // request.
  void RequestOfAPeerThatHasOnlyEndedItsInputIsReported() {
    const int descriptor = SendRequest();
    ::shutdown(descriptor, SHUT_WR);
    CPPUNIT_ASSERT(RunUntil([this] { return requests_ == 1; }));
    CPPUNIT_ASSERT_EQUAL(0, abandoned_);
    ::close(descriptor);
  }

  int requests_ = 0;
  int abandoned_ = 0;
  std::unique_ptr<Server> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateRequestTest);

}  // namespace
}  // namespace coltsfoottide::http
