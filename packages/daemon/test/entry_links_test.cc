#include "entry_links.h"

#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QTcpServer>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoottide/daemon/boot_clock.h"
#include "coltsfoottide/daemon/logging.h"
#include "coltsfoottide/direct/agent_hello.h"
#include "entry_links_listener.h"
#include "frame_connection.h"

namespace coltsfoottide::daemon {
namespace {

// Only a test that hangs waits this long.
constexpr core::Duration kHang = std::chrono::seconds(20);
// A connection attempt to it fails before the call returns.
constexpr char kBroadcastAddress[] = "127.255.255.255";

template <typename Done>
bool RunUntil(Done done) {
  const core::TimePoint end = BootNow() + kHang;
  while (!done() && BootNow() < end) QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
  return done();
}

class RecordingListener : public EntryLinksListener {
 public:
  void OnAgentConnected(const direct::AgentHello& hello, core::TimePoint /*now*/) override {
    connected.push_back(hello.agent);
    latest_hello = hello;
    if (on_connected) on_connected(hello.agent);
  }
  void OnAgentFrame(const std::string& /*agent*/, const direct_wire::Frame& /*frame*/,
                    core::TimePoint /*now*/) override {}
  void OnAgentLost(const std::string& agent, core::TimePoint /*last_heard*/) override {
    lost.push_back(agent);
  }
  void OnPeerStamp(const std::string& /*entry*/, direct_wire::Frame& /*frame*/) override {}
  void OnPeerLost(const std::string& entry, core::TimePoint /*now*/) override {
    lost.push_back(entry);
  }
  void OnEntryForgotten(const std::string& /*entry*/) override {}
  void OnPeerFrame(const std::string& /*entry*/, const direct_wire::Frame& /*frame*/,
                   core::TimePoint /*now*/) override {}
  void OnPeerConnected(const std::string& /*entry*/, bool /*records_claims*/,
                       direct_wire::Frame& frame, core::TimePoint /*now*/) override {
    frame.add_crashing_routes()->set_route("known");
    frame.add_cancels("recent");
  }
  void OnPeerCancel(const std::string& job, core::TimePoint /*now*/) override {
    cancels.push_back(job);
  }
  void OnPeerCrashingRoute(const direct_wire::CrashingRoute& message,
                           core::TimePoint /*now*/) override {
    crashing_routes.push_back(message.route());
  }
  void OnPeerConfiguration(const std::string& /*entry*/,
                           const direct_wire::Configuration& /*configuration*/,
                           core::TimePoint /*now*/) override {}

  std::function<void(const std::string& agent)> on_connected;
  std::vector<std::string> connected;
  direct::AgentHello latest_hello;
  std::vector<std::string> lost;
  std::vector<std::string> crashing_routes;
  std::vector<std::string> cancels;
};

// A peer that sends frames as it likes.
struct Peer {
  explicit Peer(std::uint16_t port) {
    FrameConnection::Events events;
    events.on_open = [this] { open = true; };
    events.on_frame = [this](const direct_wire::Frame& frame) {
      for (const auto& it : frame.crashing_routes()) crashing_routes.push_back(it.route());
      cancels.insert(cancels.end(), frame.cancels().begin(), frame.cancels().end());
      if (frame.orders_size() > 0) echo_with_orders = frame.echo_us();
      if (frame.has_evacuation()) {
        ++evacuations;
        evacuated.assign(frame.evacuation().data_centres().begin(),
                         frame.evacuation().data_centres().end());
        evacuated_with_orders = evacuated_with_orders || frame.orders_size() > 0;
      }
    };
    events.on_closed = [this] { closed = true; };
    connection = std::make_unique<FrameConnection>("127.0.0.1", port, events);
  }

  void SendHello(const std::string& name, std::uint64_t stamp_us = 0,
                 std::uint64_t number = 0) const {
    direct_wire::Hello& hello = *connection->outbox().mutable_hello();
    hello.set_connection(number);
    hello.set_sender(direct_wire::Hello::AGENT);
    hello.set_name(name);
    connection->outbox().set_stamp_us(stamp_us);
    connection->Flush();
  }

  bool open = false;
  bool closed = false;
  std::vector<std::string> crashing_routes;
  std::vector<std::string> cancels;
  std::optional<std::uint64_t> echo_with_orders;
  int evacuations = 0;
  std::vector<std::string> evacuated;
  bool evacuated_with_orders = false;
  std::unique_ptr<FrameConnection> connection;
};

}  // namespace

class EntryLinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryLinksTest);
  CPPUNIT_TEST(PeerThatChangesItsNameIsClosed);
  CPPUNIT_TEST(HelloWithoutANameIsClosed);
  CPPUNIT_TEST(OrdersThatFollowAHelloCarryItsEcho);
  CPPUNIT_TEST(HelloOfAnEarlierConnectionIsRefused);
  CPPUNIT_TEST(HelloComesWithTheDescriptionOfItsFrame);
  CPPUNIT_TEST(AgentsLearnOfEvacuationsBeforeTheyGetOrders);
  CPPUNIT_TEST(EntriesTellEachOtherOfCrashingRoutes);
  CPPUNIT_TEST(EntriesTellEachOtherOfCancels);
  CPPUNIT_TEST(DialThatFailsAtOnceIsRepeated);
  CPPUNIT_TEST(EndIsReportedAfterConstruction);
  CPPUNIT_TEST(ClosedConnectionReportsNoEarlierError);
  CPPUNIT_TEST(AcceptsAgainAfterItHadNoDescriptor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    application_ = std::make_unique<QCoreApplication>(argc_, nullptr);
    listener_ = RecordingListener();
    links_ = std::make_unique<EntryLinks>(1, "a", listener_, *logger_);
    {
      QTcpServer free_port;
      CPPUNIT_ASSERT(free_port.listen(QHostAddress::LocalHost));
      port_ = free_port.serverPort();
    }
    CPPUNIT_ASSERT(!links_->Open({"127.0.0.1", port_}, {"127.0.0.1", port_}));
  }

  void tearDown() override {
    links_.reset();
    application_.reset();
  }

 private:
  // Guards against an entry that ends: one connection says hello under two names,
  // and the next order to the first name finds no connection.
  void PeerThatChangesItsNameIsClosed() {
    Peer peer(port_);
    CPPUNIT_ASSERT(RunUntil([&] { return peer.open; }));
    peer.SendHello("10.0.0.1");
    CPPUNIT_ASSERT(RunUntil([&] { return listener_.connected.size() == 1; }));
    CPPUNIT_ASSERT(links_->FrameTo("10.0.0.1") != nullptr);
    peer.SendHello("10.0.0.2");
    CPPUNIT_ASSERT(RunUntil([&] { return peer.closed; }));
    CPPUNIT_ASSERT(links_->FrameTo("10.0.0.1") == nullptr);
    CPPUNIT_ASSERT(links_->FrameTo("10.0.0.2") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listener_.lost.size());
  }

  // Guards against an agent that no message can be addressed to.
  void HelloWithoutANameIsClosed() {
    Peer peer(port_);
    CPPUNIT_ASSERT(RunUntil([&] { return peer.open; }));
    peer.SendHello("");
    CPPUNIT_ASSERT(RunUntil([&] { return peer.closed; }));
    CPPUNIT_ASSERT(listener_.connected.empty());
  }

  // Guards against orders that an agent has to refuse: it starts nothing for an entry that
  // has confirmed none of its messages.
  void OrdersThatFollowAHelloCarryItsEcho() {
    constexpr std::uint64_t kStampUs = 17;
    listener_.on_connected = [this](const std::string& agent) {
      links_->FrameTo(agent)->add_orders();
    };
    Peer peer(port_);
    CPPUNIT_ASSERT(RunUntil([&] { return peer.open; }));
    peer.SendHello("10.0.0.1", kStampUs);
    CPPUNIT_ASSERT(RunUntil([&] { return peer.echo_with_orders.has_value(); }));
    CPPUNIT_ASSERT_EQUAL(kStampUs, *peer.echo_with_orders);
  }

  // Guards against a placement by an earlier description of the backend server, between the hello
  // and the description that follows it in the same frame.
  void HelloComesWithTheDescriptionOfItsFrame() {
    Peer peer(port_);
    CPPUNIT_ASSERT(RunUntil([&] { return peer.open; }));
    peer.connection->outbox().mutable_description()->add_labels("large");
    peer.connection->outbox().mutable_worker()->set_ready(true);
    peer.SendHello("10.0.0.1");
    CPPUNIT_ASSERT(RunUntil([&] { return listener_.connected.size() == 1; }));
    CPPUNIT_ASSERT(listener_.latest_hello.description->HasLabel("large"));
    CPPUNIT_ASSERT(listener_.latest_hello.state->ready);
  }

  // The network has held up what an agent sent on a connection that it has closed since.
  // Guards against ending the runs that this hello does not list: they were ordered on the
  // next connection and go on.
  void HelloOfAnEarlierConnectionIsRefused() {
    Peer earlier(port_);
    Peer latest(port_);
    CPPUNIT_ASSERT(RunUntil([&] { return earlier.open && latest.open; }));
    latest.SendHello("10.0.0.1", 0, 2);
    CPPUNIT_ASSERT(RunUntil([&] { return listener_.connected.size() == 1; }));
    earlier.SendHello("10.0.0.1", 0, 1);
    CPPUNIT_ASSERT(RunUntil([&] { return earlier.closed; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listener_.connected.size());
    CPPUNIT_ASSERT(listener_.lost.empty());
    CPPUNIT_ASSERT(!latest.closed);
    CPPUNIT_ASSERT(links_->FrameTo("10.0.0.1") != nullptr);
  }

  // Guards against starts in an evacuated data centre by an agent that has just connected, and
  // against a change that agents never learn of.
  void AgentsLearnOfEvacuationsBeforeTheyGetOrders() {
    direct_wire::Evacuation evacuation;
    evacuation.add_data_centres("b");
    evacuation.set_position(7);
    links_->BroadcastEvacuation(evacuation);
    listener_.on_connected = [this](const std::string& agent) {
      links_->FrameTo(agent)->add_orders();
    };
    Peer peer(port_);
    CPPUNIT_ASSERT(RunUntil([&] { return peer.open; }));
    peer.SendHello("10.0.0.1");
    CPPUNIT_ASSERT(RunUntil([&] { return peer.evacuations == 1; }));
    CPPUNIT_ASSERT(peer.evacuated_with_orders);
    CPPUNIT_ASSERT((peer.evacuated == std::vector<std::string>{"b"}));
    // A later position alone is no change.
    evacuation.set_position(8);
    links_->BroadcastEvacuation(evacuation);
    evacuation.clear_data_centres();
    links_->BroadcastEvacuation(evacuation);
    CPPUNIT_ASSERT(RunUntil([&] { return peer.evacuations == 2; }));
    CPPUNIT_ASSERT(peer.evacuated.empty());
  }

  // Guards against an entry that has to lose backend servers of its own to learn what
  // others know: what it missed comes with the hello, the rest as it happens.
  void EntriesTellEachOtherOfCrashingRoutes() {
    Peer peer(port_);
    CPPUNIT_ASSERT(RunUntil([&] { return peer.open; }));
    direct_wire::Hello& hello = *peer.connection->outbox().mutable_hello();
    hello.set_sender(direct_wire::Hello::ENTRY);
    hello.set_name("10.0.0.3");
    peer.connection->outbox().add_crashing_routes()->set_route("of the peer");
    CPPUNIT_ASSERT(RunUntil([&] { return peer.crashing_routes.size() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string("known"), peer.crashing_routes[0]);
    CPPUNIT_ASSERT(RunUntil([&] { return listener_.crashing_routes.size() == 1; }));
    direct_wire::CrashingRoute message;
    message.set_route("new");
    links_->BroadcastCrashingRoute(message);
    CPPUNIT_ASSERT(RunUntil([&] { return peer.crashing_routes.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("new"), peer.crashing_routes[1]);
  }

  // Guards against a job that goes on because its cancel has reached another entry (review/5),
  // also one that was cut off meanwhile.
  void EntriesTellEachOtherOfCancels() {
    Peer peer(port_);
    CPPUNIT_ASSERT(RunUntil([&] { return peer.open; }));
    direct_wire::Hello& hello = *peer.connection->outbox().mutable_hello();
    hello.set_sender(direct_wire::Hello::ENTRY);
    hello.set_name("10.0.0.3");
    peer.connection->outbox().add_cancels("of the peer");
    CPPUNIT_ASSERT(RunUntil([&] { return peer.cancels.size() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string("recent"), peer.cancels[0]);
    CPPUNIT_ASSERT(RunUntil([&] { return listener_.cancels.size() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string("of the peer"), listener_.cancels[0]);
    links_->BroadcastCancel("new");
    CPPUNIT_ASSERT(RunUntil([&] { return peer.cancels.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("new"), peer.cancels[1]);
  }

  // Guards against an entry that ends when a connection attempt fails at once, here since
  // TCP does not connect to a broadcast address, in production also for want of a route or
  // of a descriptor.
  void DialThatFailsAtOnceIsRepeated() {
    const auto no_runs = [](const std::string&) { return false; };
    const core::TimePoint now = BootNow();
    UseName("99.0.0.1");
    links_->AddConfiguredEntry(kBroadcastAddress);
    links_->Advance(no_runs, now);
    CPPUNIT_ASSERT(RunUntil([this] { return links_->links() == 0; }));
    links_->Advance(no_runs, now + std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, links_->links());
  }

  // Guards against an owner that is called back before it holds the connection.
  void EndIsReportedAfterConstruction() {
    int closed = 0;
    FrameConnection::Events events;
    events.on_closed = [&closed] { ++closed; };
    const FrameConnection connection(kBroadcastAddress, port_, events);
    CPPUNIT_ASSERT_EQUAL(0, closed);
    CPPUNIT_ASSERT(RunUntil([&closed] { return closed > 0; }));
    CPPUNIT_ASSERT_EQUAL(1, closed);
  }

  // Guards against a late report to an owner that has closed the connection meanwhile.
  void ClosedConnectionReportsNoEarlierError() {
    int closed = 0;
    FrameConnection::Events events;
    events.on_closed = [&closed] { ++closed; };
    FrameConnection connection(kBroadcastAddress, port_, events);
    connection.Close();
    QCoreApplication::processEvents();
    CPPUNIT_ASSERT_EQUAL(0, closed);
  }

  // Guards against an entry that accepts no agent any more once it has had no free
  // descriptor: the listener pauses after such an error.
  void AcceptsAgainAfterItHadNoDescriptor() {
    const int waiting = ::socket(AF_INET, SOCK_STREAM, 0);
    rlimit before{};
    CPPUNIT_ASSERT_EQUAL(0, ::getrlimit(RLIMIT_NOFILE, &before));
    // All numbers above the lowest free one are out of range.
    const int lowest_free = ::dup(waiting);
    ::close(lowest_free);
    const rlimit none_free{static_cast<rlim_t>(lowest_free), before.rlim_max};
    CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &none_free));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port_);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int connected =
        ::connect(waiting, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    const core::TimePoint end = BootNow() + std::chrono::milliseconds(300);
    RunUntil([end] { return BootNow() > end; });
    const std::size_t accepted_without_descriptor = links_->links();
    CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &before));
    CPPUNIT_ASSERT_EQUAL(0, connected);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, accepted_without_descriptor);
    CPPUNIT_ASSERT(RunUntil([this] { return links_->links() == 1; }));
    ::close(waiting);
  }

  // Gives the entry under test an address above those that it is to dial.
  void UseName(const std::string& name) {
    links_ = std::make_unique<EntryLinks>(1, "a", listener_, *logger_);
    CPPUNIT_ASSERT(!links_->Open({"127.0.0.1", port_}, {name, port_}));
  }

  int argc_ = 0;
  std::unique_ptr<QCoreApplication> application_;
  std::unique_ptr<Logger> logger_ = MakeJsonLogger("error", "test");
  RecordingListener listener_;
  std::unique_ptr<EntryLinks> links_;
  std::uint16_t port_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryLinksTest);

}  // namespace coltsfoottide::daemon
