#include "coltsfoottide/schema/validation.h"

#include <cppunit/extensions/HelperMacros.h>

#include "coltsfoottide/schema/json.h"

namespace coltsfoottide::schema {
namespace {

api::JobSpec ValidJob(int tasks) {
  api::JobSpec job;
  job.set_team("coaches");
  job.set_service("match-review");
  job.set_job_class(api::URGENT);
  job.set_deadline_ms(1000);
  for (int n = 0; n < tasks; ++n) {
    job.add_tasks()->set_kind("clip-lookup");
  }
  return job;
}

class ValidationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ValidationTest);
  CPPUNIT_TEST(AcceptsTheLargestJob);
  CPPUNIT_TEST(RefusesTooManyTasks);
  CPPUNIT_TEST(RefusesCycles);
  CPPUNIT_TEST(RefusesDependencyOnMissingTask);
  CPPUNIT_TEST(RefusesMissingFields);
  CPPUNIT_TEST(RefusesOversizedPayload);
  CPPUNIT_TEST(ReportsJsonErrors);
  CPPUNIT_TEST_SUITE_END();

  void AcceptsTheLargestJob() { CPPUNIT_ASSERT(!ValidateJob(ValidJob(220))); }

  void RefusesTooManyTasks() { AssertInvalid(ValidJob(221)); }

  void RefusesCycles() {
    api::JobSpec job = ValidJob(3);
    job.mutable_tasks(0)->add_depends_on(2);
    job.mutable_tasks(1)->add_depends_on(0);
    job.mutable_tasks(2)->add_depends_on(1);
    AssertInvalid(job);
    api::JobSpec self = ValidJob(1);
    self.mutable_tasks(0)->add_depends_on(0);
    AssertInvalid(self);
  }

  void RefusesDependencyOnMissingTask() {
    api::JobSpec job = ValidJob(2);
    job.mutable_tasks(0)->add_depends_on(2);
    AssertInvalid(job);
  }

  void RefusesMissingFields() {
    api::JobSpec job = ValidJob(1);
    job.clear_team();
    AssertInvalid(job);
    job = ValidJob(1);
    job.clear_deadline_ms();
    AssertInvalid(job);
    job = ValidJob(1);
    job.clear_job_class();
    AssertInvalid(job);
    AssertInvalid(ValidJob(0));
  }

  void RefusesOversizedPayload() {
    api::JobSpec job = ValidJob(1);
    job.mutable_tasks(0)->set_payload(std::string(64 * 1024 + 1, 'x'));
    AssertInvalid(job);
  }

  void ReportsJsonErrors() {
    api::JobSpec job;
    CPPUNIT_ASSERT(FromJson("{\"team\":", &job));
    CPPUNIT_ASSERT(FromJson("{\"team\":{}}", &job));
    CPPUNIT_ASSERT(FromJson("{\"unknown_field\":1}", &job));
    CPPUNIT_ASSERT(!FromJson("{\"team\":\"coaches\"}", &job));
    CPPUNIT_ASSERT_EQUAL(std::string("coaches"), job.team());
  }

  static void AssertInvalid(const api::JobSpec& job) {
    const auto error = ValidateJob(job);
    CPPUNIT_ASSERT(error.has_value());
    CPPUNIT_ASSERT_EQUAL(api::NOT_RUN, error->verdict());
    CPPUNIT_ASSERT_EQUAL(api::INVALID_REQUEST, error->reason());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValidationTest);

}  // namespace
}  // namespace coltsfoottide::schema
