#include "coltsfoottide/http/server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <QHostAddress>
#include <QTcpSocket>
#include <vector>

#include "event_loop.h"

namespace coltsfoottide::http {

namespace {

// A server that records the requests and abandonments reported to it.
struct Fixture {
  explicit Fixture(const ServerLimits& limits = {}) {
    ServerCallbacks callbacks;
    callbacks.on_request = [this](Request it) { requests.push_back(std::move(it)); };
    callbacks.on_abandoned = [this](std::uint64_t id) { abandoned.push_back(id); };
    server = std::get<0>(MakeServer("127.0.0.1", 0, limits, std::move(callbacks)));
  }

  std::vector<Request> requests;
  std::vector<std::uint64_t> abandoned;
  std::unique_ptr<Server> server;
};

// A client that writes raw bytes and records what it receives.
struct RawPeer {
  explicit RawPeer(const Fixture& fixture) : RawPeer(*fixture.server) {}
  explicit RawPeer(const Server& server) {
    QObject::connect(&socket, &QTcpSocket::readyRead, &socket,
                     [this] { received += socket.readAll(); });
    bool connected = false;
    QObject scope;
    QObject::connect(&socket, &QTcpSocket::connected, &scope, [&] { connected = true; });
    socket.connectToHost(QHostAddress::LocalHost, server.port());
    CPPUNIT_ASSERT(RunUntil([&] { return connected; }));
  }
  // Writes the bytes and shuts down the sending direction.
  void WriteLast(const QByteArray& bytes) {
    socket.write(bytes);
    socket.flush();
    ::shutdown(static_cast<int>(socket.socketDescriptor()), SHUT_WR);
  }
  bool WaitFor(const char* text) {
    return RunUntil([this, text] { return received.contains(text); });
  }
  bool WaitForClose() {
    return RunUntil([this] { return socket.state() == QAbstractSocket::UnconnectedState; });
  }

  QTcpSocket socket;
  QByteArray received;
};

QByteArray PostText(const QByteArray& path, const QByteArray& body) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" +
         body;
}

Response TextResponse(std::string body, int status = 200) {
  Response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

}  // namespace

class ServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerTest);
  CPPUNIT_TEST(KeepsConnectionAlive);
  CPPUNIT_TEST(DropsResponseToClosedConnection);
  CPPUNIT_TEST(ReportsPeerThatClosesNormally);
  CPPUNIT_TEST(AnswersPeerThatShutsDownSending);
  CPPUNIT_TEST(StopWaitsForHalfClosedConnection);
  CPPUNIT_TEST(HoldsBackPipelinedRequests);
  CPPUNIT_TEST(AnswersWithinTheCallback);
  CPPUNIT_TEST(StopsReadingWhileRequestInProgress);
  CPPUNIT_TEST(RefusesOversizedBody);
  CPPUNIT_TEST(RefusesEndlessHeader);
  CPPUNIT_TEST(RefusesMalformedRequests);
  CPPUNIT_TEST(ClosesSlowClients);
  CPPUNIT_TEST(LimitsConnections);
  CPPUNIT_TEST(StopAnswersRequestsInProgress);
  CPPUNIT_TEST(SendsContinue);
  CPPUNIT_TEST(ReportsPortInUseAndInvalidAddress);
  CPPUNIT_TEST(WritesStatusAndHeaders);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { EnsureApplication(); }

  // Guards against a parser state that does not survive the first request.
  void KeepsConnectionAlive() {
    Fixture fixture;
    RawPeer peer(fixture);
    for (std::size_t i = 1; i <= 3; ++i) {
      const QByteArray body = "body-" + QByteArray::number(qulonglong{i});
      peer.socket.write(PostText("/v1/x", body));
      CPPUNIT_ASSERT(RunUntil([&] { return fixture.requests.size() == i; }));
      const Request& request = fixture.requests.back();
      CPPUNIT_ASSERT_EQUAL(body.toStdString(), request.body);
      CPPUNIT_ASSERT_EQUAL(std::string("/v1/x"), request.path);
      CPPUNIT_ASSERT_EQUAL(std::string("h"), request.headers.at("host"));
      CPPUNIT_ASSERT(fixture.server->Respond(request.id, TextResponse("answer-" + request.body)));
      CPPUNIT_ASSERT(peer.WaitFor(("answer-" + body).constData()));
    }
    CPPUNIT_ASSERT_EQUAL(QAbstractSocket::ConnectedState, peer.socket.state());
  }

  // Guards against a crash in Qt 6.4.2 when a response is written after its
  // socket was destroyed.
  void DropsResponseToClosedConnection() {
    Fixture fixture;
    {
      RawPeer peer(fixture);
      peer.socket.write(PostText("/v1/x", "a"));
      CPPUNIT_ASSERT(RunUntil([&] { return fixture.requests.size() == 1; }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.server->pending());
      peer.socket.abort();
    }
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.abandoned.size() == 1; }));
    CPPUNIT_ASSERT_EQUAL(fixture.requests[0].id, fixture.abandoned[0]);
    CPPUNIT_ASSERT(!fixture.server->Respond(fixture.requests[0].id, TextResponse("late")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.server->pending());
  }

  // Guards against work that goes on for a caller that has closed its connection:
  // the close first looks like a shutdown of its sending direction only.
  void ReportsPeerThatClosesNormally() {
    Fixture fixture;
    {
      RawPeer peer(fixture);
      peer.socket.write(PostText("/v1/x", "a"));
      CPPUNIT_ASSERT(RunUntil([&] { return fixture.requests.size() == 1; }));
      peer.socket.close();
    }
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.abandoned.size() == 1; }));
    CPPUNIT_ASSERT(!fixture.server->Respond(fixture.requests[0].id, TextResponse("late")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.server->pending());
  }

  // Guards against a request that gets no response because its caller shuts down
  // its sending direction after it, as HTTP allows.
  void AnswersPeerThatShutsDownSending() {
    Fixture fixture;
    RawPeer peer(fixture);
    peer.WriteLast(PostText("/v1/x", "a"));
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.requests.size() == 1; }));
    RunFor(std::chrono::milliseconds(60));
    CPPUNIT_ASSERT(fixture.abandoned.empty());
    CPPUNIT_ASSERT(fixture.server->Respond(fixture.requests[0].id, TextResponse("answer")));
    CPPUNIT_ASSERT(peer.WaitFor("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(peer.WaitForClose());
    CPPUNIT_ASSERT(peer.received.endsWith("answer"));
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.server->pending() == 0; }));
  }

  // Guards against a stop that does not wait for the request of a half-closed
  // connection.
  void StopWaitsForHalfClosedConnection() {
    Fixture fixture;
    RawPeer peer(fixture);
    peer.WriteLast(PostText("/v1/x", "a"));
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.requests.size() == 1; }));
    RunFor(std::chrono::milliseconds(30));
    fixture.server->BeginStop();
    RunFor(std::chrono::milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.server->pending());
    fixture.server->Drop(fixture.requests[0].id);
    CPPUNIT_ASSERT(peer.WaitForClose());
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.server->pending() == 0; }));
  }

  // Guards against responses in the wrong order: QHttpServer answers pipelined
  // requests in the order in which they complete.
  void HoldsBackPipelinedRequests() {
    Fixture fixture;
    RawPeer peer(fixture);
    peer.socket.write(PostText("/1", "a") + PostText("/2", "b") + PostText("/3", "c"));
    for (std::size_t i = 1; i <= 3; ++i) {
      CPPUNIT_ASSERT(RunUntil([&] { return fixture.requests.size() == i; }));
      RunFor(std::chrono::milliseconds(20));
      CPPUNIT_ASSERT_EQUAL(i, fixture.requests.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.server->pending());
      const Request request = fixture.requests.back();
      CPPUNIT_ASSERT_EQUAL("/" + std::to_string(i), request.path);
      CPPUNIT_ASSERT(fixture.server->Respond(request.id, TextResponse("<" + request.body + ">")));
      // The next request is not reported from within the call.
      CPPUNIT_ASSERT_EQUAL(i, fixture.requests.size());
      // A second answer to the same request is ignored.
      CPPUNIT_ASSERT(!fixture.server->Respond(request.id, TextResponse("twice")));
    }
    CPPUNIT_ASSERT(peer.WaitFor("<c>"));
    CPPUNIT_ASSERT(peer.received.indexOf("<a>") < peer.received.indexOf("<b>"));
    CPPUNIT_ASSERT(peer.received.indexOf("<b>") < peer.received.indexOf("<c>"));
    CPPUNIT_ASSERT(!peer.received.contains("twice"));
  }

  // Guards against reentry when a request is answered from within on_request,
  // before Qt's parser has returned, as immediate refusals are.
  void AnswersWithinTheCallback() {
    std::unique_ptr<Server> server;
    ServerCallbacks callbacks;
    callbacks.on_request = [&](const Request& it) {
      server->Respond(it.id, TextResponse("<" + it.body + ">"));
    };
    server = std::get<0>(MakeServer("127.0.0.1", 0, {}, std::move(callbacks)));
    RawPeer peer(*server);
    peer.socket.write(PostText("/1", "a") + PostText("/2", "b"));
    CPPUNIT_ASSERT(peer.WaitFor("<b>"));
    peer.socket.write(PostText("/3", "c"));
    CPPUNIT_ASSERT(peer.WaitFor("<c>"));
    CPPUNIT_ASSERT(peer.received.indexOf("<a>") < peer.received.indexOf("<b>"));
    CPPUNIT_ASSERT(RunUntil([&] { return server->pending() == 0; }));
  }

  // Guards against bytes after a request in progress that are buffered without
  // limit.
  void StopsReadingWhileRequestInProgress() {
    Fixture fixture;
    RawPeer peer(fixture);
    constexpr qsizetype kFlood = 64 * 1024 * 1024;
    peer.socket.write(PostText("/1", "a") + QByteArray(kFlood, 'x'));
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.requests.size() == 1; }));
    qint64 left = -1;
    // Waits until the kernel's buffers are full.
    while (left != peer.socket.bytesToWrite()) {
      left = peer.socket.bytesToWrite();
      RunFor(std::chrono::milliseconds(50));
    }
    CPPUNIT_ASSERT(left > kFlood / 2);
  }

  // Guards against a body that is stored before its declared length is checked.
  void RefusesOversizedBody() {
    ServerLimits limits;
    limits.max_request_bytes = 1000;
    Fixture fixture(limits);
    RawPeer peer(fixture);
    peer.socket.write("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" + QByteArray(1001, 'x'));
    CPPUNIT_ASSERT(peer.WaitForClose());
    CPPUNIT_ASSERT(peer.received.startsWith("HTTP/1.1 413 "));
    CPPUNIT_ASSERT(fixture.requests.empty());
  }

  void RefusesEndlessHeader() {
    Fixture fixture;
    RawPeer peer(fixture);
    peer.socket.write("GET / HTTP/1.1\r\nX: " + QByteArray(64 * 1024, 'x'));
    CPPUNIT_ASSERT(peer.WaitForClose());
    CPPUNIT_ASSERT(peer.received.startsWith("HTTP/1.1 431 "));
    CPPUNIT_ASSERT(fixture.requests.empty());
  }

  // Guards against malformed requests that reach Qt's parser, which reads a
  // negative Content-Length as no limit.
  void RefusesMalformedRequests() {
    const std::vector<std::pair<QByteArray, QByteArray>> cases = {
        {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nContent-Length: abc\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nContent-Length : 1\r\n\r\nx", "400"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "411"},
        {"GET / HTTP/1.1\r\nUpgrade: websocket\r\n\r\n", "501"},
        {"CONNECT h:1 HTTP/1.1\r\n\r\n", "501"},
        {"GET / HTTP/2.0\r\n\r\n", "505"},
        {"nonsense\r\n\r\n", "400"},
    };
    Fixture fixture;
    for (const auto& [text, status] : cases) {
      RawPeer peer(fixture);
      peer.socket.write(text + PostText("/next", "x"));
      CPPUNIT_ASSERT(peer.WaitForClose());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text.toStdString(), ("HTTP/1.1 " + status).toStdString(),
                                   peer.received.left(12).toStdString());
      CPPUNIT_ASSERT(fixture.requests.empty());
    }
  }

  // Guards against clients that hold connections with unfinished headers or
  // bodies, or idle.
  void ClosesSlowClients() {
    ServerLimits limits;
    limits.header_timeout = limits.body_timeout = limits.idle_timeout =
        std::chrono::milliseconds(50);
    Fixture fixture(limits);
    const std::vector<std::pair<QByteArray, QByteArray>> cases = {
        {"POST / HT", "HTTP/1.1 408"},
        {"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", "HTTP/1.1 408"},
        {"", ""},
    };
    for (const auto& [text, answer] : cases) {
      RawPeer peer(fixture);
      peer.socket.write(text);
      CPPUNIT_ASSERT(peer.WaitForClose());
      CPPUNIT_ASSERT_EQUAL(answer.toStdString(), peer.received.left(12).toStdString());
    }
    CPPUNIT_ASSERT(fixture.requests.empty());
    CPPUNIT_ASSERT(fixture.abandoned.empty());
  }

  void LimitsConnections() {
    ServerLimits limits;
    limits.max_connections = 2;
    Fixture fixture(limits);
    RawPeer first(fixture);
    auto second = std::make_unique<RawPeer>(fixture);
    RawPeer third(fixture);
    CPPUNIT_ASSERT(third.WaitForClose());
    CPPUNIT_ASSERT_EQUAL(QAbstractSocket::ConnectedState, first.socket.state());
    // After a connection has closed, another one is accepted.
    second->socket.abort();
    CPPUNIT_ASSERT(RunUntil([&] {
      RawPeer peer(fixture);
      const std::size_t before = fixture.requests.size();
      peer.socket.write(PostText("/", "x"));
      RunUntil([&] {
        return fixture.requests.size() > before ||
               peer.socket.state() == QAbstractSocket::UnconnectedState;
      });
      return fixture.requests.size() > before;
    }));
  }

  void StopAnswersRequestsInProgress() {
    Fixture fixture;
    RawPeer idle(fixture);
    RawPeer busy(fixture);
    busy.socket.write(PostText("/", "x"));
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.requests.size() == 1; }));
    fixture.server->BeginStop();
    CPPUNIT_ASSERT(idle.WaitForClose());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.server->pending());
    QTcpSocket refused;
    refused.connectToHost(QHostAddress::LocalHost, fixture.server->port());
    CPPUNIT_ASSERT(
        RunUntil([&] { return refused.error() == QAbstractSocket::ConnectionRefusedError; }));
    CPPUNIT_ASSERT(fixture.server->Respond(fixture.requests[0].id, TextResponse("last")));
    CPPUNIT_ASSERT(busy.WaitForClose());
    CPPUNIT_ASSERT(busy.received.contains("Connection: close\r\n"));
    CPPUNIT_ASSERT(busy.received.endsWith("last"));
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.server->pending() == 0; }));
  }

  void SendsContinue() {
    Fixture fixture;
    RawPeer peer(fixture);
    peer.socket.write("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CPPUNIT_ASSERT(peer.WaitFor("HTTP/1.1 100 Continue\r\n\r\n"));
    peer.socket.write("ab");
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.requests.size() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), fixture.requests[0].body);
  }

  void ReportsPortInUseAndInvalidAddress() {
    Fixture fixture;
    const auto second = MakeServer("127.0.0.1", fixture.server->port(), {}, {});
    CPPUNIT_ASSERT(std::holds_alternative<ServerError>(second));
    CPPUNIT_ASSERT(std::holds_alternative<ServerError>(MakeServer("localhost", 0, {}, {})));
  }

  // Guards against a header value that adds a header line of its own.
  void WritesStatusAndHeaders() {
    Fixture fixture;
    RawPeer peer(fixture);
    peer.socket.write("HEAD /x HTTP/1.1\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(RunUntil([&] { return fixture.requests.size() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string("HEAD"), fixture.requests[0].method);
    Response response = TextResponse("four", 503);
    response.headers = {{"X-Not-Run", "1"}, {"X-Bad", "1\r\nX-Injected: 1"}};
    CPPUNIT_ASSERT(fixture.server->Respond(fixture.requests[0].id, response));
    CPPUNIT_ASSERT(peer.WaitForClose());
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503 Service Unavailable\r\n"
                                     "Content-Type: application/json\r\nContent-Length: 4\r\n"
                                     "X-Not-Run: 1\r\nConnection: close\r\n\r\n"),
                         peer.received.toStdString());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTest);

}  // namespace coltsfoottide::http
