#include <cppunit/extensions/HelperMacros.h>

#include <QByteArray>
#include <QCoreApplication>
#include <QEventLoop>
#include <QTcpServer>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "coltsfoottide/daemon/boot_clock.h"
#include "coltsfoottide/daemon/logging.h"
#include "coltsfoottide/daemon/metrics.h"
#include "coltsfoottide/daemon/settings.h"
#include "coltsfoottide/http/client.h"
#include "coltsfoottide/http/server.h"
#include "direct_entry_runtime.h"
#include "frame_connection.h"

namespace coltsfoottide::daemon {
namespace {

// Only a test that hangs waits this long.
constexpr core::Duration kHang = std::chrono::seconds(20);
constexpr std::chrono::milliseconds kTimeLimit{5000};
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

template <typename Done>
bool RunUntil(Done done) {
  const core::TimePoint end = BootNow() + kHang;
  while (!done() && BootNow() < end) QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
  return done();
}

void RunFor(core::Duration duration) {
  const core::TimePoint end = BootNow() + duration;
  RunUntil([end] { return BootNow() >= end; });
}

std::string FreeEndpoint() {
  QTcpServer server;
  CPPUNIT_ASSERT(server.listen(QHostAddress::LocalHost));
  return "127.0.0.1:" + std::to_string(server.serverPort());
}

// A configuration with a route "/old/", and one "/added/" from version 2 on.
std::string Configuration(int version) {
  const std::string added = R"(,{"Name":"added","Host":"127.0.0.1","PathPrefix":"/added/"})";
  return R"({"Version":)" + std::to_string(version) +
         R"(,"Routes":[{"Name":"old","Host":"127.0.0.1","PathPrefix":"/old/"})" +
         (version > 1 ? added : "") + "]}";
}

// The platform's store: the operator's topic has one record, or does not answer.
class Store {
 public:
  Store() {
    http::ServerCallbacks callbacks;
    callbacks.on_request = [this](const http::Request& request) { OnRequest(request); };
    server_ = std::move(std::get<std::unique_ptr<http::Server>>(
        http::MakeServer("127.0.0.1", 0, {}, std::move(callbacks))));
  }

  std::string url() const { return "http://127.0.0.1:" + std::to_string(server_->port()); }

  // Version of the configuration; 0 while the store does not answer.
  int version = 0;

 private:
  void OnRequest(const http::Request& request) {
    if (version == 0 || request.path != "/log-newest") return;
    const QByteArray text = QByteArray::fromStdString(Configuration(version)).toBase64();
    const bool operators = request.query.find("keyed.op") != std::string::npos;
    const std::string item =
        R"({"Key":"config","Value":")" + text.toStdString() + R"(","Offset":0})";
    http::Response response;
    response.body = R"({"items":[)" + (operators ? item : "") + R"(],"More":false,"End":)" +
                    std::to_string(operators ? version : 0) + "}";
    server_->Respond(request.id, response);
  }

  std::unique_ptr<http::Server> server_;
};

}  // namespace

// An entry that has just started, beside another entry and the store.
class EntryConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryConfigurationTest);
  CPPUNIT_TEST(AddedRouteIsNotDeniedByAPeerThatIsBehind);
  CPPUNIT_TEST(AddedRouteIsNotDeniedByAStoreThatIsBehind);
  CPPUNIT_TEST(RouteThatDoesNotExistIsDenied);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    application_ = std::make_unique<QCoreApplication>(argc_, nullptr);
    store_ = std::make_unique<Store>();
    client_ = http::MakeClient(1);
    settings_ = Settings();
    settings_.listen = FreeEndpoint();
    settings_.http_listen = FreeEndpoint();
    settings_.ready_listen = FreeEndpoint();
    settings_.data_centre = "a";
    settings_.log_url = store_->url();
    // So that the entry knows of another one from the start.
    settings_.entries = {"127.0.0.9:1"};
  }

  void tearDown() override {
    peer_.reset();
    entry_.reset();
    client_.reset();
    store_.reset();
    application_.reset();
  }

 private:
  void StartEntry() {
    entry_ = std::make_unique<DirectEntryRuntime>(settings_, *logger_, *metrics_);
    CPPUNIT_ASSERT(!entry_->Start());
  }

  // Another entry connects and sends its view.
  void ConnectPeer(int version) {
    const std::string port = settings_.listen.substr(settings_.listen.find(':') + 1);
    peer_ = std::make_unique<FrameConnection>(
        "127.0.0.1", static_cast<std::uint16_t>(std::stoi(port)),
        FrameConnection::Events{nullptr, [](const auto&) {}, [] {}});
    CPPUNIT_ASSERT(RunUntil([this] { return peer_->open(); }));
    direct_wire::Frame& frame = peer_->outbox();
    frame.mutable_hello()->set_sender(direct_wire::Hello::ENTRY);
    frame.mutable_hello()->set_name("127.0.0.9");
    frame.mutable_configuration()->set_version(static_cast<std::uint64_t>(version));
    frame.mutable_configuration()->set_text(Configuration(version));
    frame.mutable_configuration()->set_position(static_cast<std::uint64_t>(version));
    peer_->Flush();
  }

  // Status of the number of waiting jobs of a route.
  int Ask(const std::string& path) {
    std::optional<int> status;
    client_->Get("http://" + settings_.http_listen + path, kTimeLimit,
                 [&status](const http::ClientResponse& it) { status = it.status; });
    CPPUNIT_ASSERT(RunUntil([&status] { return status.has_value(); }));
    return *status;
  }

  // Guards against an entry that takes the view of another one, which is cut off from the
  // store, for a confirmed one, and denies a route that was added since.
  void AddedRouteIsNotDeniedByAPeerThatIsBehind() {
    StartEntry();
    ConnectPeer(1);
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT_EQUAL(kUnavailable, Ask("/added/"));
      RunFor(std::chrono::milliseconds(50));
    }
    CPPUNIT_ASSERT_EQUAL(kOk, Ask("/old/"));
  }

  // Guards against a restarted entry that goes back to the state of a store that is some
  // seconds behind, while another entry has the newer one.
  void AddedRouteIsNotDeniedByAStoreThatIsBehind() {
    store_->version = 1;
    // The entry waits for a peer for 600 ms only; where this process is stopped for that
    // long, it starts over.
    constexpr core::Duration kWaits = std::chrono::milliseconds(500);
    core::TimePoint started;
    int status = 0;
    do {
      entry_.reset();
      started = BootNow();
      StartEntry();
      RunFor(std::chrono::milliseconds(100));
      status = Ask("/added/");
    } while (BootNow() - started > kWaits);
    CPPUNIT_ASSERT_EQUAL(kUnavailable, status);
    ConnectPeer(2);
    CPPUNIT_ASSERT(RunUntil([this] { return Ask("/added/") == kOk; }));
  }

  // Guards against an entry that never denies a route.
  void RouteThatDoesNotExistIsDenied() {
    store_->version = 2;
    StartEntry();
    ConnectPeer(2);
    CPPUNIT_ASSERT(RunUntil([this] { return Ask("/old/") == kOk; }));
    CPPUNIT_ASSERT_EQUAL(kNotFound, Ask("/never/"));
  }

  int argc_ = 0;
  std::unique_ptr<QCoreApplication> application_;
  std::unique_ptr<Logger> logger_ = MakeJsonLogger("error", "test");
  std::unique_ptr<Metrics> metrics_ = MakeMetrics();
  Settings settings_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<http::Client> client_;
  std::unique_ptr<DirectEntryRuntime> entry_;
  std::unique_ptr<FrameConnection> peer_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryConfigurationTest);

}  // namespace coltsfoottide::daemon
