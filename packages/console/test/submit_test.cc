#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>

#include "application.h"
#include "coltsfoottide/console/job_commands.h"
#include "fake_entry.h"

namespace coltsfoottide::console {
namespace {

class SubmitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SubmitTest);
  CPPUNIT_TEST(RetriesWithTheSameTicketThroughAnotherEntry);
  CPPUNIT_TEST(ReportsNotRunWhenTheFirstAttemptIsRefused);
  CPPUNIT_TEST(ReportsMayHaveRunWhenRefusedAfterALostAttempt);
  CPPUNIT_TEST(ReportsALostSubmission);
  CPPUNIT_TEST(ReportsThatNothingWasSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    EnsureApplication();
    std::ofstream(kFile) << R"({"team":"coaches","service":"match-review","job_class":"URGENT",
        "deadline_ms":1000,"tasks":[{"kind":"clip-lookup"}]})";
  }
  void tearDown() override { std::remove(kFile); }

 private:
  void RetriesWithTheSameTicketThroughAnotherEntry() {
    FakeEntry broken(FakeEntry::Submit::kDrop);
    FakeEntry good(FakeEntry::Submit::kComplete);
    CPPUNIT_ASSERT(Run({broken.url(), good.url()}) == ExitStatus::kOk);
    CPPUNIT_ASSERT(broken.submitted() == std::vector<std::uint64_t>{42});
    CPPUNIT_ASSERT(good.submitted() == std::vector<std::uint64_t>{42});
    CPPUNIT_ASSERT(out_.str().starts_with("ticket: 10.0.0.5:7000/0000000000000000/42/fes-c\n"));
  }

  void ReportsNotRunWhenTheFirstAttemptIsRefused() {
    FakeEntry refusing(FakeEntry::Submit::kRefuse);
    CPPUNIT_ASSERT(Run({refusing.url()}) == ExitStatus::kNotRun);
  }

  // The lost attempt may have been accepted, so "not run" would be false.
  void ReportsMayHaveRunWhenRefusedAfterALostAttempt() {
    FakeEntry broken(FakeEntry::Submit::kDrop);
    FakeEntry refusing(FakeEntry::Submit::kRefuse);
    CPPUNIT_ASSERT(Run({broken.url(), refusing.url()}) == ExitStatus::kMayHaveRun);
  }

  void ReportsALostSubmission() {
    FakeEntry broken(FakeEntry::Submit::kDrop);
    CPPUNIT_ASSERT(Run({broken.url()}) == ExitStatus::kMayHaveRun);
  }

  void ReportsThatNothingWasSent() {
    std::string url;
    { url = FakeEntry(FakeEntry::Submit::kDrop).url(); }
    CPPUNIT_ASSERT(Run({url}) == ExitStatus::kUnreachable);
    CPPUNIT_ASSERT(out_.str().empty());
  }

  ExitStatus Run(const std::vector<std::string>& entries) {
    Options options;
    options.wait = true;
    const std::vector<std::string> arguments = {kFile};
    std::ostringstream err;
    EntryClient client(entries, err);
    CommandContext context{options, arguments, client, out_, err};
    return RunSubmit(context);
  }

  static constexpr const char* kFile = "submit_test_job.json";
  std::ostringstream out_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubmitTest);

}  // namespace
}  // namespace coltsfoottide::console
