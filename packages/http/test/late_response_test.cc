#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "coltsfoottide/http/client.h"
#include "event_loop.h"

namespace coltsfoottide::http {
namespace {

constexpr std::chrono::milliseconds kDelay{150};
constexpr std::chrono::milliseconds kTimeLimit{300};
constexpr std::chrono::milliseconds kPause{600};

// Answers each request on a thread of its own, so also while the client's event loop does
// not run: "/late" after kDelay, others at once. The client has to be destroyed first.
class ThreadedServer {
 public:
  ThreadedServer() : listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const name = reinterpret_cast<sockaddr*>(&address);
    CPPUNIT_ASSERT_EQUAL(0, ::bind(listener_, name, size));
    CPPUNIT_ASSERT_EQUAL(0, ::listen(listener_, 16));
    CPPUNIT_ASSERT_EQUAL(0, ::getsockname(listener_, name, &size));
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~ThreadedServer() {
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    for (std::thread& it : threads_) it.join();
    ::close(listener_);
  }

  std::string Url(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(port_) + path;
  }

 private:
  void Accept() {
    for (;;) {
      const int descriptor = ::accept(listener_, nullptr, nullptr);
      if (descriptor < 0) return;
      threads_.emplace_back([descriptor] { Serve(descriptor); });
    }
  }
  static void Serve(int descriptor) {
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::array<char, 4096> buf{};
    // The client's requests are short and sent one at a time.
    for (;;) {
      const ssize_t n = ::recv(descriptor, buf.data(), buf.size(), 0);
      if (n <= 0) break;
      const std::string request(buf.data(), static_cast<std::size_t>(n));
      if (request.find("/late") != std::string::npos) std::this_thread::sleep_for(kDelay);
      ::send(descriptor, answer.data(), answer.size(), MSG_NOSIGNAL);
    }
    ::close(descriptor);
  }

  int listener_;
  std::uint16_t port_ = 0;
  std::thread acceptor_;
  std::vector<std::thread> threads_;
};

class LateResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateResponseTest);
  CPPUNIT_TEST(CallbackOfALateResponseMaySendFurtherCalls);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { EnsureApplication(); }

 private:
  // A process stands still while it handles one response; another arrives meanwhile, and the
  // time limit of its call passes. Guards against a crash: the call's callback sends further
  // calls, for which the client opens connections.
  void CallbackOfALateResponseMaySendFurtherCalls() {
    constexpr int kFurtherCalls = 6;
    constexpr int kMaxConnections = 8;
    constexpr int kOk = 200;
    const ThreadedServer server;
    const auto client = MakeClient(kMaxConnections);
    int late_status = 0;
    int further = 0;
    client->Post(server.Url("/late"), {}, "x", kTimeLimit, [&](const ClientResponse& late) {
      late_status = late.status;
      for (int i = 0; i < kFurtherCalls; ++i) {
        client->Post(server.Url("/"), {}, "x", std::chrono::seconds(5),
                     [&](const ClientResponse& it) { further += it.status == kOk ? 1 : 0; });
      }
    });
    client->Post(server.Url("/"), {}, "x", std::chrono::seconds(5),
                 [](const ClientResponse&) { std::this_thread::sleep_for(kPause); });
    CPPUNIT_ASSERT(RunUntil([&] { return further == kFurtherCalls; }));
    CPPUNIT_ASSERT_EQUAL(kOk, late_status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateResponseTest);

}  // namespace
}  // namespace coltsfoottide::http
