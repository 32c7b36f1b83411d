#include <cppunit/extensions/HelperMacros.h>

#include <QHostAddress>
#include <QTcpSocket>
#include <memory>
#include <string>
#include <vector>

#include "coltsfoottide/http/memory_budget.h"
#include "coltsfoottide/http/server.h"
#include "event_loop.h"

namespace coltsfoottide::http {
namespace {

// 20 bodies of kBodyBytes, or the kernel's buffers of 20 connections, fit into it.
constexpr std::size_t kBudgetBytes = 4 * 1024 * 1024;
constexpr qsizetype kBodyBytes = 200'000;

QByteArray Head(qsizetype length) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + QByteArray::number(length) + "\r\n\r\n";
}

// Two servers that share a budget and answer each request at once, unless `holds`.
struct Fixture {
  Fixture() {
    limits.memory = budget;
    limits.max_request_bytes = 2 * kBudgetBytes;
    for (auto* it : {&server, &other}) {
      ServerCallbacks callbacks;
      callbacks.on_request = [this, it](const Request& request) {
        ++requests;
        if (holds) {
          held.push_back(request.id);
        } else {
          (*it)->Respond(request.id, Response());
        }
      };
      *it = std::get<0>(MakeServer("127.0.0.1", 0, limits, std::move(callbacks)));
    }
  }

  std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(kBudgetBytes);
  ServerLimits limits;
  std::unique_ptr<Server> server;
  std::unique_ptr<Server> other;
  bool holds = false;
  std::vector<std::uint64_t> held;
  int requests = 0;
};

struct Peer {
  explicit Peer(const Server& server) {
    QObject::connect(&socket, &QTcpSocket::readyRead, &socket,
                     [this] { received += socket.readAll(); });
    socket.connectToHost(QHostAddress::LocalHost, server.port());
    CPPUNIT_ASSERT(RunUntil([&] { return socket.state() == QAbstractSocket::ConnectedState; }));
  }
  bool closed() const { return socket.state() == QAbstractSocket::UnconnectedState; }
  bool WaitFor(const char* text) {
    return RunUntil([this, text] { return received.contains(text); });
  }

  QTcpSocket socket;
  QByteArray received;
};

}  // namespace

class ServerMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerMemoryTest);
  CPPUNIT_TEST(LimitsBodiesAtRunTime);
  CPPUNIT_TEST(ServesLargeBodiesInTurn);
  CPPUNIT_TEST(ServesSmallRequestsBesideStalledBodies);
  CPPUNIT_TEST(CountsBothServersUntilTheyClose);
  CPPUNIT_TEST(RefusesBodyThatNeverFits);
  CPPUNIT_TEST(RefusedRequestIsNotPassedOn);
  CPPUNIT_TEST(ClosesUnreadConnectionInProgressLast);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { EnsureApplication(); }

  // Guards against a limit that only new connections know, and against a refusal that the
  // client cannot read because it is still sending.
  void LimitsBodiesAtRunTime() {
    Fixture fixture;
    Peer peer(*fixture.server);
    peer.socket.write(Head(1000) + QByteArray(1000, 'x'));
    CPPUNIT_ASSERT(peer.WaitFor(" 200 "));
    fixture.server->SetMaxBodyBytes(999);
    peer.socket.write(Head(999) + QByteArray(999, 'x'));
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.requests == 2; }));
    peer.socket.write(Head(1000) + QByteArray(900'000, 'x'));
    CPPUNIT_ASSERT(peer.WaitFor(" 413 "));
    CPPUNIT_ASSERT_EQUAL(2, fixture.requests);
    fixture.server->SetMaxBodyBytes(1000);
    Peer next(*fixture.server);
    next.socket.write(Head(1000) + QByteArray(1000, 'x'));
    CPPUNIT_ASSERT(next.WaitFor(" 200 "));
  }

  // Guards against bodies that wait for each other, and against ordinary ones that are refused
  // because many arrive at once.
  void ServesLargeBodiesInTurn() {
    Fixture fixture;
    std::vector<std::unique_ptr<Peer>> peers;
    for (int i = 0; i < 20; ++i) {
      peers.push_back(std::make_unique<Peer>(*fixture.server));
      peers.back()->socket.write(Head(kBodyBytes) + QByteArray(kBodyBytes, 'x'));
    }
    for (const auto& it : peers) CPPUNIT_ASSERT(it->WaitFor(" 200 "));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.budget->closed() + fixture.budget->refused());
  }

  // Guards against clients that stop just short of the end and so keep all others waiting.
  void ServesSmallRequestsBesideStalledBodies() {
    Fixture fixture;
    std::vector<std::unique_ptr<Peer>> peers;
    for (int i = 0; i < 20; ++i) {
      peers.push_back(std::make_unique<Peer>(*fixture.server));
      peers.back()->socket.write(Head(kBodyBytes) + QByteArray(kBodyBytes - 1, 'x'));
    }
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.budget->waiting() > 0; }));
    Peer small(*fixture.server);
    small.socket.write(Head(10'000) + QByteArray(10'000, 'x'));
    CPPUNIT_ASSERT(small.WaitFor(" 200 "));
    Peer large(*fixture.server);
    large.socket.write(Head(kBodyBytes) + QByteArray(kBodyBytes, 'x'));
    CPPUNIT_ASSERT(large.WaitFor(" 200 "));
    CPPUNIT_ASSERT(fixture.budget->closed() > 0);
    CPPUNIT_ASSERT(fixture.budget->held() <= kBudgetBytes);
  }

  // Guards against bytes that stay counted when connections have closed.
  void CountsBothServersUntilTheyClose() {
    Fixture fixture;
    {
      Peer first(*fixture.server);
      Peer second(*fixture.other);
      first.socket.write(Head(100'000) + QByteArray(50'000, 'x'));
      second.socket.write(Head(100'000) + QByteArray(50'000, 'x'));
      CPPUNIT_ASSERT(RunUntil([&] { return fixture.budget->held() > 200'000; }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.budget->holders());
    }
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.budget->holders() == 0; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.budget->held());
  }

  void RefusesBodyThatNeverFits() {
    Fixture fixture;
    Peer peer(*fixture.server);
    peer.socket.write(Head(2'100'000) + QByteArray(2'100'000, 'x'));
    CPPUNIT_ASSERT(peer.WaitFor(" 413 "));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.budget->refused());
    CPPUNIT_ASSERT_EQUAL(0, fixture.requests);
  }

  // Guards against a request that is refused for memory and runs all the same.
  void RefusedRequestIsNotPassedOn() {
    struct Other : MemoryHolder {
      void OnMemoryReserved() override {}
      void OnMemoryReclaimed() override {}
    } other;
    Fixture fixture;
    Peer peer(*fixture.server);
    const MemoryBudget::Clock::time_point now = MemoryBudget::Clock::now();
    fixture.budget->Add(other, now);
    peer.socket.write("POST / HTTP/1.1\r\n");
    RunFor(std::chrono::milliseconds(20));
    fixture.budget->Set(other, 2 * kBudgetBytes, true, now);
    // Both are read in one turn of the event loop.
    peer.socket.write("Content-Length: 1\r\n\r\nx");
    CPPUNIT_ASSERT(peer.WaitFor(" 503 "));
    CPPUNIT_ASSERT(peer.received.contains("Retry-After: 1\r\n"));
    CPPUNIT_ASSERT_EQUAL(0, fixture.requests);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.budget->refused());
    fixture.budget->Remove(other);
  }

  // Guards against decoded requests that are not counted, and against their connections being
  // closed before those of others.
  void ClosesUnreadConnectionInProgressLast() {
    Fixture fixture;
    fixture.holds = true;
    Peer busy(*fixture.server);
    busy.socket.write(Head(1) + "x");
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.held.size() == 1; }));
    fixture.server->CountDecoded(fixture.held[0], kBudgetBytes - 100'000);
    Peer stalled(*fixture.other);
    stalled.socket.write("POST / HTTP/1.1\r\nX: " + QByteArray(30'000, 'x'));
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.budget->held() > kBudgetBytes - 70'000; }));
    CPPUNIT_ASSERT(!stalled.closed());
    fixture.server->CountDecoded(fixture.held[0], kBudgetBytes - 40'000);
    CPPUNIT_ASSERT(RunUntil([&] { return stalled.closed(); }));
    CPPUNIT_ASSERT(!busy.closed());
    CPPUNIT_ASSERT(fixture.server->Respond(fixture.held[0], Response()));
    CPPUNIT_ASSERT(busy.WaitFor(" 200 "));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerMemoryTest);

}  // namespace coltsfoottide::http
