#include "coltsfoottide/core/admission.h"

#include <cppunit/extensions/HelperMacros.h>

#include "control_fakes.h"

namespace coltsfoottide::core {
namespace {

using std::chrono::seconds;

api::SubmitRequest Submission(std::uint64_t sequence, int tasks) {
  api::SubmitRequest request;
  request.mutable_ticket()->set_endpoint("10.0.1.1:1");
  request.mutable_ticket()->set_incarnation(5);
  request.mutable_ticket()->set_sequence(sequence);
  api::JobSpec* job = request.mutable_job();
  job->set_team("coaches");
  job->set_service("match-review");
  job->set_job_class(api::URGENT);
  job->set_deadline_ms(5000);
  for (int n = 0; n < tasks; ++n) {
    job->add_tasks()->mutable_needs()->set_memory_mb(100);
  }
  return request;
}

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(RefusesWithReasons);
  CPPUNIT_TEST(CountsTasksAgainstTheQuota);
  CPPUNIT_TEST(RepeatedTicketTakesNoQuota);
  CPPUNIT_TEST(JobLargerThanTheBurstGoesIntoDebt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { config_.Apply(0, testing::RegisterData("10.0.0.1:1", 1)); }

 private:
  void AddWorker() {
    wire::Renew renew;
    renew.mutable_info()->set_endpoint("10.0.1.1:1");
    renew.mutable_info()->set_service("match-review");
    renew.mutable_info()->set_state(api::SERVING);
    renew.mutable_info()->mutable_resources()->set_memory_mb(1000);
    directory_.OnRenew(renew, now_);
  }

  void AddService(std::uint32_t max_deadline_ms) {
    wire::LogRecord record;
    record.mutable_change()->set_change_id("service");
    record.mutable_change()->set_key("service/match-review");
    auto* service = record.mutable_change()->mutable_value()->mutable_service();
    service->set_name("match-review");
    service->set_max_deadline_ms(max_deadline_ms);
    config_.Apply(config_.next_offset(), record.SerializeAsString());
  }

  api::Reason Reason(const api::SubmitRequest& request) {
    const auto error = admission_.Admit(request, config_, directory_, now_);
    CPPUNIT_ASSERT(!error || (error->verdict() == api::NOT_RUN && !error->message().empty()));
    return error ? error->reason() : api::REASON_UNSPECIFIED;
  }

  void RefusesWithReasons() {
    const auto refusal = admission_.Admit(Submission(1, 1), ConfigState(), directory_, now_);
    CPPUNIT_ASSERT_EQUAL(api::NOT_CONFIGURED, refusal->reason());
    CPPUNIT_ASSERT_EQUAL(api::UNKNOWN_SERVICE, Reason(Submission(1, 1)));
    AddService(1000);
    CPPUNIT_ASSERT_EQUAL(api::NO_WORKER, Reason(Submission(1, 1)));
    AddWorker();
    CPPUNIT_ASSERT_EQUAL(api::DEADLINE_UNREACHABLE, Reason(Submission(1, 1)));
    auto request = Submission(1, 2);
    request.mutable_job()->set_deadline_ms(900);
    request.mutable_job()->mutable_tasks(1)->mutable_needs()->set_memory_mb(1001);
    CPPUNIT_ASSERT_EQUAL(api::IMPOSSIBLE_NEEDS, Reason(request));
    request.clear_ticket();
    CPPUNIT_ASSERT_EQUAL(api::TICKET_REQUIRED, Reason(request));
  }

  void CountsTasksAgainstTheQuota() {
    AddWorker();
    config_.Apply(1, testing::ChangeData("quota", "coaches", 100));
    CPPUNIT_ASSERT_EQUAL(api::QUOTA_EXCEEDED, Reason(Submission(1, 100)));
    now_ += seconds(1);
    CPPUNIT_ASSERT_EQUAL(api::REASON_UNSPECIFIED, Reason(Submission(1, 60)));
    CPPUNIT_ASSERT_EQUAL(api::QUOTA_EXCEEDED, Reason(Submission(2, 60)));
    auto other = Submission(3, 200);
    other.mutable_job()->set_team("referees");
    CPPUNIT_ASSERT_EQUAL(api::REASON_UNSPECIFIED, Reason(other));
  }

  // Guards against a NOT_RUN refusal of a job that is running.
  void RepeatedTicketTakesNoQuota() {
    AddWorker();
    config_.Apply(1, testing::ChangeData("quota", "coaches", 100));
    CPPUNIT_ASSERT_EQUAL(api::QUOTA_EXCEEDED, Reason(Submission(1, 1)));
    now_ += seconds(1);
    for (int n = 0; n < 5; ++n) {
      CPPUNIT_ASSERT_EQUAL(api::REASON_UNSPECIFIED, Reason(Submission(1, 100)));
    }
    CPPUNIT_ASSERT_EQUAL(api::QUOTA_EXCEEDED, Reason(Submission(2, 1)));
  }

  // Guards against a large job that a small share of a quota never admits.
  void JobLargerThanTheBurstGoesIntoDebt() {
    AddWorker();
    config_.Apply(1, testing::ChangeData("quota", "coaches", 20));
    admission_.Rebalance(config_, {}, now_);
    now_ += seconds(60);
    CPPUNIT_ASSERT_EQUAL(api::REASON_UNSPECIFIED, Reason(Submission(1, 200)));
    now_ += seconds(9);
    CPPUNIT_ASSERT_EQUAL(api::QUOTA_EXCEEDED, Reason(Submission(2, 1)));
    now_ += seconds(1);
    CPPUNIT_ASSERT_EQUAL(api::REASON_UNSPECIFIED, Reason(Submission(2, 20)));
  }

  ConfigState config_;
  Directory directory_;
  Admission admission_;
  TimePoint now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace
}  // namespace coltsfoottide::core
