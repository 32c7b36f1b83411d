#include "coltsfoottide/standin/backend_service.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <memory>

#include "application.h"
#include "http_caller.h"

namespace coltsfoottide::standin {
namespace {

class BackendServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendServiceTest);
  CPPUNIT_TEST(RunsATaskForItsRunTime);
  CPPUNIT_TEST(RefusesTasksBeyondItsSlots);
  CPPUNIT_TEST(RecordsRepeatedStarts);
  CPPUNIT_TEST(RecordsATaskWhoseConnectionIsDropped);
  CPPUNIT_TEST(FailsAndReportsLeaving);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    EnsureApplication();
    service_ = std::make_unique<BackendService>(BackendControls{.slots = 2});
    CPPUNIT_ASSERT(!service_->Listen({"127.0.0.1", 0}));
    caller_ = std::make_unique<HttpCaller>(service_->port());
  }

  void tearDown() override {
    caller_.reset();
    service_.reset();
  }

 private:
  void RunsATaskForItsRunTime() {
    const auto response = caller_->Post("/run", R"({"run_ms":20,"echo":"job-1"})");
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"echo":"job-1"})"), response.body);
    const QJsonValue start = Starts().first();
    CPPUNIT_ASSERT_EQUAL(std::string("start-1"), start["id"].toString().toStdString());
    CPPUNIT_ASSERT_EQUAL(std::string("job-1"), start["echo"].toString().toStdString());
    const qint64 elapsed_us = start["end_us"].toInteger() - start["start_us"].toInteger();
    CPPUNIT_ASSERT(elapsed_us >= 19'000);
    CPPUNIT_ASSERT_EQUAL(std::string("text"), caller_->Post("/run", "text").body);
  }

  void RefusesTasksBeyondItsSlots() {
    const std::string body = R"({"run_ms":50})";
    const auto responses = caller_->PostAll("/run", {body, body, body});
    const auto refusal = std::find_if(responses.begin(), responses.end(),
                                      [](const auto& it) { return it.status == 503; });
    CPPUNIT_ASSERT(refusal != responses.end());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), refusal->headers.at("x-not-run"));
    CPPUNIT_ASSERT_EQUAL(qsizetype{2}, Starts().size());
  }

  // The checker of starts-at-most-once must see both starts of a task.
  void RecordsRepeatedStarts() {
    caller_->Post("/run", R"({"run_ms":1})");
    caller_->Post("/run", R"({"run_ms":1})");
    CPPUNIT_ASSERT_EQUAL(qsizetype{2}, Starts().size());
  }

  void RecordsATaskWhoseConnectionIsDropped() {
    caller_->Post("/control", R"({"drop":true})");
    CPPUNIT_ASSERT_EQUAL(0, caller_->Post("/run", "x").status);
    CPPUNIT_ASSERT_EQUAL(qsizetype{1}, Starts().size());
  }

  void FailsAndReportsLeaving() {
    caller_->Post("/control", R"({"fail":true,"leaving":true,"lease_ms":700})");
    CPPUNIT_ASSERT_EQUAL(500, caller_->Post("/run", R"({"run_ms":1})").status);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"lease_ms":700,"slots":2,"state":"leaving"})"),
                         caller_->Get("/health").body);
  }

  QJsonArray Starts() {
    const std::string body = caller_->Get("/starts").body;
    return QJsonDocument::fromJson(QByteArray::fromStdString(body))["starts"].toArray();
  }

  std::unique_ptr<BackendService> service_;
  std::unique_ptr<HttpCaller> caller_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendServiceTest);

}  // namespace
}  // namespace coltsfoottide::standin
