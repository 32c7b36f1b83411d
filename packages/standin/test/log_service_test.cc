#include "coltsfoottide/standin/log_service.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <chrono>
#include <memory>

#include "application.h"
#include "http_caller.h"

namespace coltsfoottide::standin {
namespace {

class LogServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogServiceTest);
  CPPUNIT_TEST(WritesOneAppendAtATime);
  CPPUNIT_TEST(DropsAReplyAfterTheWrite);
  CPPUNIT_TEST(RefusesAnAppendBeforeTheWrite);
  CPPUNIT_TEST(FailsLogCallsDuringAnOutage);
  CPPUNIT_TEST(RejectsUnknownSwitches);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    EnsureApplication();
    service_ = std::make_unique<LogService>(Retention{}, LogControls{});
    CPPUNIT_ASSERT(!service_->Listen({"127.0.0.1", 0}));
    caller_ = std::make_unique<HttpCaller>(service_->port());
  }

  void tearDown() override {
    caller_.reset();
    service_.reset();
  }

 private:
  // A log that wrote appends concurrently would hide the limit of the real log,
  // which sustains a few hundred appends a second.
  void WritesOneAppendAtATime() {
    const auto before = std::chrono::steady_clock::now();
    const auto responses = caller_->PostAll("/v1/append", {"a", "b", "c", "d"});
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - before >= std::chrono::milliseconds(19));
    for (const auto& response : responses) {
      CPPUNIT_ASSERT_EQUAL(200, response.status);
    }
    CPPUNIT_ASSERT_EQUAL(4, CountRecordsFrom(0));
    CPPUNIT_ASSERT_EQUAL(1, CountRecordsFrom(3));
  }

  void DropsAReplyAfterTheWrite() {
    caller_->Post("/control", R"({"lose_replies":1})");
    const auto lost = caller_->Post("/v1/append", "a");
    CPPUNIT_ASSERT_EQUAL(0, lost.status);
    CPPUNIT_ASSERT(lost.delivery == http::Delivery::kMaybeSent);
    CPPUNIT_ASSERT_EQUAL(1, CountRecordsFrom(0));
    CPPUNIT_ASSERT_EQUAL(200, caller_->Post("/v1/append", "b").status);
  }

  void RefusesAnAppendBeforeTheWrite() {
    caller_->Post("/control", R"({"refuse_appends":1})");
    CPPUNIT_ASSERT_EQUAL(503, caller_->Post("/v1/append", "a").status);
    CPPUNIT_ASSERT_EQUAL(0, CountRecordsFrom(0));
  }

  void FailsLogCallsDuringAnOutage() {
    caller_->Post("/control", R"({"outage":"error"})");
    CPPUNIT_ASSERT_EQUAL(503, caller_->Get("/v1/read?from=0").status);
    caller_->Post("/control", R"({"outage":"drop"})");
    CPPUNIT_ASSERT_EQUAL(0, caller_->Get("/v1/read?from=0").status);
    caller_->Post("/control", R"({"outage":"none"})");
    CPPUNIT_ASSERT_EQUAL(200, caller_->Get("/v1/read?from=0").status);
  }

  // A misspelt switch must not be ignored: the experiment would run without its
  // fault.
  void RejectsUnknownSwitches() {
    CPPUNIT_ASSERT_EQUAL(400,
                         caller_->Post("/control", R"({"sync_ms":1,"outtage":"hang"})").status);
    const auto report =
        QJsonDocument::fromJson(QByteArray::fromStdString(caller_->Get("/control").body));
    CPPUNIT_ASSERT_EQUAL(5, report["sync_ms"].toInt());
  }

  int CountRecordsFrom(int offset) {
    const auto response = caller_->Get("/v1/read?from=" + std::to_string(offset) + "&max=10");
    const auto page = QJsonDocument::fromJson(QByteArray::fromStdString(response.body));
    return static_cast<int>(page["records"].toArray().size());
  }

  std::unique_ptr<LogService> service_;
  std::unique_ptr<HttpCaller> caller_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogServiceTest);

}  // namespace
}  // namespace coltsfoottide::standin
