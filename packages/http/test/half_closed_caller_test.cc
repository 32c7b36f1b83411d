#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

#include "coltsfoottide/http/server.h"
#include "event_loop.h"
#include "half_closed_peer.h"

namespace coltsfoottide::http {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kAbandonLimit{1000};
constexpr std::chrono::milliseconds kHandlingTime{1000};
// Shorter than the server holds back a request whose caller has ended its input.
constexpr std::chrono::milliseconds kHeldBack{40};
// Limits the bytes that a caller gets before its response after kHandlingTime.
constexpr std::size_t kMaxInterimResponses = 10;
constexpr std::string_view kInterimResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kRequest =
    "POST /v1/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na";

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Listens on a port chosen by the system.
int Listen(std::uint16_t& port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  auto* const name = reinterpret_cast<sockaddr*>(&address);
  CPPUNIT_ASSERT_EQUAL(0, ::bind(listener, name, size));
  CPPUNIT_ASSERT_EQUAL(0, ::listen(listener, 1));
  CPPUNIT_ASSERT_EQUAL(0, ::getsockname(listener, name, &size));
  port = ntohs(address.sin_port);
  return listener;
}

int Connect(std::uint16_t port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = LoopbackAddress(port);
  CPPUNIT_ASSERT_EQUAL(
      0, ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
  return descriptor;
}

void SendAll(int descriptor, std::string_view text) {
  CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()),
                       ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL));
}

// Appends what has arrived; returns whether the peer has ended its output.
bool ReadAvailable(int descriptor, std::string& received) {
  std::array<char, 65536> buf{};
  for (;;) {
    const ssize_t n = ::recv(descriptor, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n <= 0) return n == 0;
    received.append(buf.data(), static_cast<std::size_t>(n));
  }
}

// Removes the interim responses at the start of a stream and returns their number.
std::size_t TakeInterimResponses(std::string& stream) {
  std::size_t n = 0;
  while (stream.starts_with(kInterimResponse)) {
    stream.erase(0, kInterimResponse.size());
    ++n;
  }
  return n;
}

// A load balancer for one connection: copies bytes both ways on threads of its own, passes
// the end of each input on, and closes both sides once a write fails.
class Forwarder {
 public:
  explicit Forwarder(std::uint16_t server_port)
      : listener_(Listen(port_)), server_(Connect(server_port)) {
    acceptor_ = std::thread([this] { Run(); });
  }
  ~Forwarder() {
    ::shutdown(listener_, SHUT_RDWR);
    {
      const std::lock_guard lock(mutex_);
      ::shutdown(server_, SHUT_RDWR);
    }
    acceptor_.join();
    ::close(listener_);
  }
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  std::uint16_t port() const { return port_; }
  // Whether the caller's end of input has been passed on to the server.
  bool input_ended() const { return input_ended_; }

 private:
  void Run() {
    const int caller = ::accept(listener_, nullptr, nullptr);
    if (caller >= 0) {
      std::thread input([this, caller] {
        Copy(caller, server_);
        input_ended_ = true;
      });
      Copy(server_, caller);
      // Ends the other thread's read if the caller still sends.
      ::shutdown(caller, SHUT_RD);
      input.join();
      ::close(caller);
    }
    const std::lock_guard lock(mutex_);
    ::close(std::exchange(server_, -1));
  }
  static void Copy(int from, int to) {
    std::array<char, 4096> buf{};
    for (;;) {
      const ssize_t n = ::recv(from, buf.data(), buf.size(), 0);
      if (n <= 0) break;
      if (::send(to, buf.data(), static_cast<std::size_t>(n), MSG_NOSIGNAL) != n) return;
    }
    ::shutdown(to, SHUT_WR);
  }

  std::uint16_t port_ = 0;
  int listener_;
  // Guards the descriptor against use after its close.
  std::mutex mutex_;
  int server_;
  std::atomic<bool> input_ended_ = false;
  std::thread acceptor_;
};

class HalfClosedCallerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HalfClosedCallerTest);
  CPPUNIT_TEST(CallerThatClosesBehindALoadBalancerIsAbandoned);
  CPPUNIT_TEST(CallerThatClosesBeforeItsRequestIsReadIsAbandoned);
  CPPUNIT_TEST(CallerThatEndsItsInputGetsTheWholeResponse);
  CPPUNIT_TEST(CallerThatEndsItsInputGetsTheWholeResponseThroughALoadBalancer);
  CPPUNIT_TEST(PeerThatDoesNotReadIsNotTakenForClosed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    EnsureApplication();
    requests_ = 0;
    abandoned_ = 0;
    last_id_ = 0;
    ServerCallbacks callbacks;
    callbacks.on_request = [this](const Request& it) {
      ++requests_;
      last_id_ = it.id;
    };
    callbacks.on_abandoned = [this](std::uint64_t) { ++abandoned_; };
    server_ = std::get<0>(MakeServer("127.0.0.1", 0, {}, std::move(callbacks)));
  }
  void tearDown() override { server_.reset(); }

 private:
  bool IsAbandonedInTime() const {
    const Clock::time_point limit = Clock::now() + kAbandonLimit;
    RunUntil([&] { return abandoned_ > 0 || Clock::now() > limit; });
    return abandoned_ == 1 && server_->pending() == 0;
  }

  // Guards against work that goes on for a caller that has closed its connection to a load
  // balancer, which hides the reset by the first interim response.
  void CallerThatClosesBehindALoadBalancerIsAbandoned() {
    const Forwarder forwarder(server_->port());
    const int caller = Connect(forwarder.port());
    SendAll(caller, kRequest);
    CPPUNIT_ASSERT(RunUntil([this] { return requests_ == 1; }));
    ::close(caller);
    CPPUNIT_ASSERT(IsAbandonedInTime());
  }

  // Guards against the same for a request that is read after its caller has closed, and
  // passed on because the time for its reset has passed.
  void CallerThatClosesBeforeItsRequestIsReadIsAbandoned() {
    const Forwarder forwarder(server_->port());
    const int caller = Connect(forwarder.port());
    SendAll(caller, kRequest);
    ::close(caller);
    // The server's event loop does not run meanwhile.
    while (!forwarder.input_ended()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    const Clock::time_point start = Clock::now();
    CPPUNIT_ASSERT(RunUntil([this] { return requests_ == 1; }));
    CPPUNIT_ASSERT(Clock::now() - start >= kHeldBack);
    CPPUNIT_ASSERT(IsAbandonedInTime());
  }

  // Guards against interim responses that damage the final one, or are as many as fill the
  // buffer of a caller that reads late.
  void CallerThatEndsItsInputGetsTheWholeResponse() {
    CheckWholeResponse(Connect(server_->port()));
  }

  // Guards against a load balancer that is taken for a caller that has closed.
  void CallerThatEndsItsInputGetsTheWholeResponseThroughALoadBalancer() {
    const Forwarder forwarder(server_->port());
    CheckWholeResponse(Connect(forwarder.port()));
  }

  void CheckWholeResponse(int caller) {
    SendAll(caller, kRequest);
    ::shutdown(caller, SHUT_WR);
    CPPUNIT_ASSERT(RunUntil([this] { return requests_ == 1; }));
    RunFor(kHandlingTime);
    CPPUNIT_ASSERT_EQUAL(0, abandoned_);
    Response response;
    response.body = std::string(100'000, 'b');
    CPPUNIT_ASSERT(server_->Respond(last_id_, response));
    std::string received;
    CPPUNIT_ASSERT(RunUntil([&] { return ReadAvailable(caller, received); }));
    const std::size_t n = TakeInterimResponses(received);
    CPPUNIT_ASSERT(n >= 2);
    CPPUNIT_ASSERT(n <= kMaxInterimResponses);
    CPPUNIT_ASSERT_EQUAL(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: 100000\r\nConnection: close\r\n\r\n" +
            response.body,
        received);
    ::close(caller);
  }

  // Guards against a caller that counts as gone, or whose stream is damaged, because an
  // interim response does not fit into the send buffer.
  void PeerThatDoesNotReadIsNotTakenForClosed() {
    std::uint16_t port = 0;
    const int listener = Listen(port);
    const int reader = Connect(port);
    const int writer = ::accept(listener, nullptr, nullptr);
    const std::string block(4096, 'x');
    std::string sent;
    // Until the kernel does not take a single byte.
    for (std::size_t size = block.size(); size > 0;) {
      const ssize_t n = ::send(writer, block.data(), size, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (n > 0) sent.append(block.data(), static_cast<std::size_t>(n));
      if (n <= 0) size /= 2;
    }
    bool closed = false;
    HalfClosedPeer peer(writer, std::numeric_limits<int>::max());
    ::close(writer);
    peer.Probe([&closed] { closed = true; });
    RunFor(std::chrono::milliseconds(300));
    CPPUNIT_ASSERT(!closed);
    std::string received;
    CPPUNIT_ASSERT(RunUntil([&] {
      ReadAvailable(reader, received);
      return received.size() >= sent.size() + kInterimResponse.size();
    }));
    CPPUNIT_ASSERT(peer.SendFinalResponse("final"));
    CPPUNIT_ASSERT(RunUntil([&] { return ReadAvailable(reader, received); }));
    CPPUNIT_ASSERT(received.starts_with(sent));
    received.erase(0, sent.size());
    CPPUNIT_ASSERT(TakeInterimResponses(received) >= 1);
    CPPUNIT_ASSERT_EQUAL(std::string("final"), received);
    CPPUNIT_ASSERT(!closed);
    ::close(reader);
    ::close(listener);
  }

  int requests_ = 0;
  int abandoned_ = 0;
  std::uint64_t last_id_ = 0;
  std::unique_ptr<Server> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HalfClosedCallerTest);

}  // namespace
}  // namespace coltsfoottide::http
