#include <cppunit/extensions/HelperMacros.h>

#include <QByteArray>
#include <QCoreApplication>
#include <QEventLoop>
#include <QTcpServer>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "coltsfoottide/daemon/boot_clock.h"
#include "coltsfoottide/daemon/logging.h"
#include "coltsfoottide/daemon/metrics.h"
#include "coltsfoottide/daemon/settings.h"
#include "coltsfoottide/http/client.h"
#include "coltsfoottide/http/server.h"
#include "direct_entry_runtime.h"

namespace coltsfoottide::daemon {
namespace {

// Only a test that hangs waits this long.
constexpr core::Duration kHang = std::chrono::seconds(20);
constexpr std::chrono::milliseconds kTimeLimit{15000};
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
// Of no use after 1.2 s, so that a delay of 239 ms is the largest at which it is accepted.
constexpr char kJob[] =
    R"({"Spec":"","BestEffort":true,"Steps":[{"Count":1,"Cpu":1000,"EstimateMs":400}]})";
constexpr char kConfiguration[] =
    R"({"Version":1,"Routes":[{"Name":"r","Host":"127.0.0.1","PathPrefix":"/j/","Service":"s",)"
    R"("TimeoutMs":1500,"Stretch":1.0}]})";

std::string FreeEndpoint() {
  QTcpServer server;
  CPPUNIT_ASSERT(server.listen(QHostAddress::LocalHost));
  return "127.0.0.1:" + std::to_string(server.serverPort());
}

}  // namespace

// An entry without agents whose event loop comes to its events late.
class EntryOverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryOverloadTest);
  CPPUNIT_TEST(JobsAreRefusedOnlyWhileTheEntryIsSlow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    application_ = std::make_unique<QCoreApplication>(argc_, nullptr);
    http::ServerCallbacks callbacks;
    callbacks.on_request = [this](const http::Request& request) { OnStoreRequest(request); };
    store_ = std::move(std::get<std::unique_ptr<http::Server>>(
        http::MakeServer("127.0.0.1", 0, {}, std::move(callbacks))));
    client_ = http::MakeClient(1);
    settings_.listen = FreeEndpoint();
    settings_.http_listen = FreeEndpoint();
    settings_.ready_listen = FreeEndpoint();
    settings_.data_centre = "a";
    settings_.log_url = "http://127.0.0.1:" + std::to_string(store_->port());
    settings_.cpu_share = 0.5;
    entry_ = std::make_unique<DirectEntryRuntime>(settings_, *logger_, *metrics_);
    CPPUNIT_ASSERT(!entry_->Start());
  }

  void tearDown() override {
    entry_.reset();
    client_.reset();
    store_.reset();
    application_.reset();
  }

 private:
  void OnStoreRequest(const http::Request& request) {
    if (request.path != "/log-newest") return;
    const std::string text = QByteArray(kConfiguration).toBase64().toStdString();
    const bool operators = request.query.find("keyed.op") != std::string::npos;
    const std::string item = R"({"Key":"config","Value":")" + text + R"(","Offset":0})";
    http::Response response;
    response.body = R"({"items":[)" + (operators ? item : "") + R"(],"More":false,"End":)" +
                    (operators ? "1}" : "0}");
    store_->Respond(request.id, response);
  }

  // Processes events until `done`, after a delay of each iteration.
  template <typename Done>
  void RunUntil(Done done, std::chrono::milliseconds delay) {
    const core::TimePoint end = BootNow() + kHang;
    while (!done() && BootNow() < end) {
      if (delay.count() > 0) std::this_thread::sleep_for(delay);
      QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
    }
    CPPUNIT_ASSERT(done());
  }

  http::ClientResponse Submit(const std::string& job, std::chrono::milliseconds delay) {
    std::optional<http::ClientResponse> response;
    client_->Post("http://" + settings_.http_listen + "/j/" + job, {}, kJob, kTimeLimit,
                  [&response](const http::ClientResponse& it) { response = it; });
    RunUntil([&response] { return response.has_value(); }, delay);
    return *response;
  }

  static bool IsRefusedByLoad(const http::ClientResponse& response) {
    return response.status == kUnavailable &&
           response.body.find("entry overloaded") != std::string::npos;
  }

  // Guards against an entry that accepts jobs which it answers too late, that refuses jobs when
  // it is fast, or that goes on refusing them.
  void JobsAreRefusedOnlyWhileTheEntryIsSlow() {
    std::optional<int> status;
    const auto ask = [this, &status] {
      client_->Get("http://" + settings_.http_listen + "/j/", kTimeLimit,
                   [&status](const http::ClientResponse& it) { status = it.status; });
    };
    // Until it has a configuration.
    while (status != kOk) {
      status.reset();
      ask();
      RunUntil([&status] { return status.has_value(); }, {});
    }
    // No agent is there: refused for this.
    const http::ClientResponse fast = Submit("00000000000000a1", {});
    CPPUNIT_ASSERT(!IsRefusedByLoad(fast));
    constexpr std::chrono::milliseconds kDelay{400};
    for (int i = 0; i < 4; ++i) {
      std::this_thread::sleep_for(kDelay);
      QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
    }
    CPPUNIT_ASSERT(IsRefusedByLoad(Submit("00000000000000a2", kDelay)));
    const core::TimePoint end = BootNow() + std::chrono::seconds(1);
    RunUntil([end] { return BootNow() >= end; }, {});
    CPPUNIT_ASSERT(!IsRefusedByLoad(Submit("00000000000000a3", {})));
  }

  int argc_ = 0;
  std::unique_ptr<QCoreApplication> application_;
  std::unique_ptr<Logger> logger_ = MakeJsonLogger("error", "test");
  std::unique_ptr<Metrics> metrics_ = MakeMetrics();
  Settings settings_;
  std::unique_ptr<http::Server> store_;
  std::unique_ptr<http::Client> client_;
  std::unique_ptr<DirectEntryRuntime> entry_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryOverloadTest);

}  // namespace coltsfoottide::daemon
