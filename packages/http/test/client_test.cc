#include "coltsfoottide/http/client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QHash>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <algorithm>
#include <optional>
#include <vector>

#include "event_loop.h"
#include "request_framer.h"

namespace coltsfoottide::http {

namespace {

constexpr auto kLong = std::chrono::seconds(50);

// A server that collects whole requests and leaves the responses to the test.
class RawServer {
 public:
  struct Received {
    QTcpSocket* socket;
    QByteArray text;
  };

  RawServer() {
    QObject::connect(&server, &QTcpServer::newConnection, &server, [this] {
      while (QTcpSocket* socket = server.nextPendingConnection()) Accept(socket);
    });
    CPPUNIT_ASSERT(server.listen(QHostAddress::LocalHost));
  }
  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(server.serverPort()) + "/run";
  }
  bool WaitForRequests(std::size_t n) {
    return RunUntil([this, n] { return requests.size() >= n; });
  }
  static void Answer(QTcpSocket* socket, const QByteArray& body) {
    socket->write("HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(body.size()) +
                  "\r\n\r\n" + body);
  }

  QTcpServer server;
  std::vector<Received> requests;
  int connections = 0;

 private:
  void Accept(QTcpSocket* socket) {
    ++connections;
    auto framer = std::make_shared<RequestFramer>(std::size_t{1} << 22);
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, framer] {
      framer->Append(socket->readAll());
      while (framer->state() == RequestFramer::State::kComplete) {
        const RequestFramer::Complete request = framer->Take();
        requests.push_back({socket, request.header + QByteArray::fromStdString(request.body)});
      }
    });
  }
};

// Collects the response to one call.
struct Answer {
  std::function<void(ClientResponse)> Callback() {
    return [this](ClientResponse it) {
      ++calls;
      response = std::move(it);
    };
  }
  bool Wait() {
    return RunUntil([this] { return response.has_value(); });
  }

  int calls = 0;
  std::optional<ClientResponse> response;
};

}  // namespace

class ClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(PostsAndReusesConnection);
  CPPUNIT_TEST(SendsPostOnceWhenConnectionCloses);
  CPPUNIT_TEST(SendsPostOnceOverStaleConnection);
  CPPUNIT_TEST(RequestToLostServerIsMaybeSent);
  CPPUNIT_TEST(RequestOnRefusedConnectionIsNotSent);
  CPPUNIT_TEST(QueuedCallTimesOutNotSent);
  CPPUNIT_TEST(ResponsesBelongToTheirRequests);
  CPPUNIT_TEST(OpensManyConnections);
  CPPUNIT_TEST(TruncatedResponseIsNoResponse);
  CPPUNIT_TEST(ErrorStatusIsAResponse);
  CPPUNIT_TEST(DoesNotFollowRedirects);
  CPPUNIT_TEST(DestroyedClientMakesNoCallback);
  CPPUNIT_TEST(ErrorAtOnceIsReportedAfterTheCallReturns);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { EnsureApplication(); }

  // Guards against callers that are called back while they still send, and against a
  // recursion as deep as the number of their attempts: TCP refuses a broadcast address
  // before the connection attempt returns.
  void ErrorAtOnceIsReportedAfterTheCallReturns() {
    constexpr int kAttempts = 3;
    const auto client = MakeClient(1);
    int sending = 0;
    int deepest = 0;
    int failed = 0;
    std::function<void()> send = [&] {
      deepest = std::max(deepest, ++sending);
      client->Get("http://127.255.255.255:9/", kLong, [&](const ClientResponse& it) {
        CPPUNIT_ASSERT(it.delivery == Delivery::kNotSent);
        if (++failed < kAttempts) send();
      });
      --sending;
    };
    send();
    CPPUNIT_ASSERT_EQUAL(0, failed);
    CPPUNIT_ASSERT(RunUntil([&failed] { return failed == kAttempts; }));
    CPPUNIT_ASSERT_EQUAL(1, deepest);
  }

  void PostsAndReusesConnection() {
    RawServer server;
    const auto client = MakeClient(4);
    for (std::size_t i = 1; i <= 3; ++i) {
      Answer answer;
      client->Post(server.url(), {{"X-Start-Id", "7"}}, "body", kLong, answer.Callback());
      CPPUNIT_ASSERT(server.WaitForRequests(i));
      const QByteArray& text = server.requests.back().text;
      CPPUNIT_ASSERT(text.startsWith("POST /run HTTP/1.1\r\n"));
      CPPUNIT_ASSERT(text.contains("X-Start-Id: 7\r\n"));
      CPPUNIT_ASSERT(text.endsWith("\r\n\r\nbody"));
      RawServer::Answer(server.requests.back().socket, "ok");
      CPPUNIT_ASSERT(answer.Wait());
      CPPUNIT_ASSERT_EQUAL(200, answer.response->status);
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), answer.response->body);
      CPPUNIT_ASSERT_EQUAL(std::string("2"), answer.response->headers.at("content-length"));
    }
    CPPUNIT_ASSERT_EQUAL(1, server.connections);
  }

  // Guards against a task that runs twice: QNetworkAccessManager resends a
  // request, also a POST, when its kept-alive connection closes.
  void SendsPostOnceWhenConnectionCloses() {
    for (const char* body : {"body", ""}) {
      RawServer server;
      const auto client = MakeClient(1);
      WarmUp(*client, server);
      Answer answer;
      client->Post(server.url(), {}, body, kLong, answer.Callback());
      CPPUNIT_ASSERT(server.WaitForRequests(2));
      server.requests[1].socket->abort();
      CPPUNIT_ASSERT(answer.Wait());
      RunFor(std::chrono::milliseconds(50));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.requests.size());
      CPPUNIT_ASSERT_EQUAL(0, answer.response->status);
      CPPUNIT_ASSERT(answer.response->delivery == Delivery::kMaybeSent);
      CPPUNIT_ASSERT_EQUAL(1, answer.calls);
    }
  }

  // Guards against a POST that is sent twice when its kept-alive connection
  // closes while the request is written: it may arrive once or not at all.
  void SendsPostOnceOverStaleConnection() {
    for (const char* body : {"body", ""}) {
      RawServer server;
      const auto client = MakeClient(1);
      WarmUp(*client, server);
      server.requests[0].socket->disconnectFromHost();
      Answer answer;
      client->Post(server.url(), {}, body, kLong, answer.Callback());
      CPPUNIT_ASSERT(RunUntil([&] {
        if (server.requests.size() == 2) RawServer::Answer(server.requests[1].socket, "ok");
        return answer.response.has_value() || server.requests.size() > 1;
      }));
      CPPUNIT_ASSERT(answer.Wait());
      RunFor(std::chrono::milliseconds(50));
      CPPUNIT_ASSERT(server.requests.size() <= 2);
    }
  }

  // Guards against a request that is reported as not sent although the server
  // received it: QNetworkAccessManager connects again after the close, and the
  // refusal of that connection does not prove that the first attempt was not
  // received.
  void RequestToLostServerIsMaybeSent() {
    for (const char* body : {"body", ""}) {
      RawServer server;
      const auto client = MakeClient(1);
      WarmUp(*client, server);
      Answer answer;
      client->Post(server.url(), {}, body, kLong, answer.Callback());
      CPPUNIT_ASSERT(server.WaitForRequests(2));
      server.server.close();
      server.requests[1].socket->abort();
      CPPUNIT_ASSERT(answer.Wait());
      CPPUNIT_ASSERT_EQUAL(0, answer.response->status);
      CPPUNIT_ASSERT(answer.response->delivery == Delivery::kMaybeSent);
    }
  }

  void RequestOnRefusedConnectionIsNotSent() {
    for (const char* body : {"body", ""}) {
      RawServer server;
      const std::string url = server.url();
      server.server.close();
      const auto client = MakeClient(2);
      Answer post;
      client->Post(url, {}, body, kLong, post.Callback());
      CPPUNIT_ASSERT(post.Wait());
      CPPUNIT_ASSERT_EQUAL(0, post.response->status);
      CPPUNIT_ASSERT(post.response->delivery == Delivery::kNotSent);
      CPPUNIT_ASSERT(!post.response->error.empty());
    }
  }

  void QueuedCallTimesOutNotSent() {
    RawServer server;
    const auto client = MakeClient(1);
    Answer first;
    Answer second;
    client->Post(server.url(), {}, "1", std::chrono::milliseconds(300), first.Callback());
    client->Post(server.url(), {}, "2", std::chrono::milliseconds(50), second.Callback());
    CPPUNIT_ASSERT(second.Wait());
    CPPUNIT_ASSERT(second.response->delivery == Delivery::kNotSent);
    CPPUNIT_ASSERT(first.Wait());
    CPPUNIT_ASSERT(first.response->delivery == Delivery::kMaybeSent);
    CPPUNIT_ASSERT_EQUAL(0, first.response->status);
    CPPUNIT_ASSERT(server.requests.size() <= 1);
  }

  // Guards against responses that are swapped between calls with the same body
  // when they arrive in another order.
  void ResponsesBelongToTheirRequests() {
    RawServer server;
    const auto client = MakeClient(4);
    Answer first;
    Answer second;
    client->Post(server.url(), {{"X-Start-Id", "first"}}, "same", kLong, first.Callback());
    client->Post(server.url(), {{"X-Start-Id", "second"}}, "same", kLong, second.Callback());
    CPPUNIT_ASSERT(server.WaitForRequests(2));
    std::reverse(server.requests.begin(), server.requests.end());
    for (const auto& it : server.requests) {
      const bool is_first = it.text.contains("X-Start-Id: first\r\n");
      RawServer::Answer(it.socket, is_first ? "for first" : "for second");
    }
    CPPUNIT_ASSERT(first.Wait() && second.Wait());
    CPPUNIT_ASSERT_EQUAL(std::string("for first"), first.response->body);
    CPPUNIT_ASSERT_EQUAL(std::string("for second"), second.response->body);
  }

  // Guards against a limit of 6 connections, which is QNetworkAccessManager's own; a
  // backend server accepts 64.
  void OpensManyConnections() {
    constexpr int kConnections = 64;
    RawServer server;
    const auto client = MakeClient(kConnections);
    std::vector<Answer> answers(kConnections + 10);
    for (Answer& it : answers) client->Post(server.url(), {}, "x", kLong, it.Callback());
    CPPUNIT_ASSERT(server.WaitForRequests(kConnections));
    RunFor(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kConnections}, server.requests.size());
    std::size_t answered = 0;
    CPPUNIT_ASSERT(RunUntil([&] {
      while (answered < server.requests.size()) {
        RawServer::Answer(server.requests[answered++].socket, "ok");
      }
      return std::all_of(answers.begin(), answers.end(),
                         [](const Answer& it) { return it.calls == 1; });
    }));
    CPPUNIT_ASSERT_EQUAL(kConnections, server.connections);
    for (const Answer& it : answers) CPPUNIT_ASSERT_EQUAL(200, it.response->status);
  }

  void TruncatedResponseIsNoResponse() {
    RawServer server;
    const auto client = MakeClient(1);
    Answer answer;
    client->Post(server.url(), {}, "x", kLong, answer.Callback());
    CPPUNIT_ASSERT(server.WaitForRequests(1));
    server.requests[0].socket->write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    server.requests[0].socket->disconnectFromHost();
    CPPUNIT_ASSERT(answer.Wait());
    CPPUNIT_ASSERT_EQUAL(0, answer.response->status);
    CPPUNIT_ASSERT(answer.response->delivery == Delivery::kMaybeSent);
  }

  void ErrorStatusIsAResponse() {
    for (const int status : {400, 401, 404, 500, 503}) {
      RawServer server;
      const auto client = MakeClient(1);
      Answer answer;
      client->Post(server.url(), {}, "x", kLong, answer.Callback());
      CPPUNIT_ASSERT(server.WaitForRequests(1));
      server.requests[0].socket->write("HTTP/1.1 " + QByteArray::number(status) +
                                       " No\r\nX-Not-Run: 1\r\nContent-Length: 3\r\n\r\nwhy");
      CPPUNIT_ASSERT(answer.Wait());
      CPPUNIT_ASSERT_EQUAL(status, answer.response->status);
      CPPUNIT_ASSERT_EQUAL(std::string("why"), answer.response->body);
      CPPUNIT_ASSERT_EQUAL(std::string("1"), answer.response->headers.at("x-not-run"));
    }
  }

  void DoesNotFollowRedirects() {
    RawServer server;
    const auto client = MakeClient(1);
    Answer answer;
    client->Get(server.url(), kLong, answer.Callback());
    CPPUNIT_ASSERT(server.WaitForRequests(1));
    server.requests[0].socket->write(
        "HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n");
    CPPUNIT_ASSERT(answer.Wait());
    CPPUNIT_ASSERT_EQUAL(302, answer.response->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.requests.size());
  }

  // Guards against calls in progress that use the client after it was destroyed.
  void DestroyedClientMakesNoCallback() {
    RawServer server;
    auto client = MakeClient(1);
    Answer started;
    Answer queued;
    client->Post(server.url(), {}, "x", kLong, started.Callback());
    client->Post(server.url(), {}, "x", kLong, queued.Callback());
    CPPUNIT_ASSERT(server.WaitForRequests(1));
    client.reset();
    RunFor(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(0, started.calls + queued.calls);
  }

 private:
  // Makes one call, which leaves a kept-alive connection.
  static void WarmUp(Client& client, RawServer& server) {
    Answer answer;
    client.Post(server.url(), {}, "warm-up", kLong, answer.Callback());
    CPPUNIT_ASSERT(server.WaitForRequests(1));
    RawServer::Answer(server.requests[0].socket, "ok");
    CPPUNIT_ASSERT(answer.Wait());
    CPPUNIT_ASSERT_EQUAL(200, answer.response->status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

}  // namespace coltsfoottide::http
