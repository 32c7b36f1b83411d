#include "coltsfoottide/console/dispatcher_sender.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QEventLoop>
#include <memory>

#include "application.h"
#include "fake_entry.h"

namespace coltsfoottide::console {
namespace {

constexpr std::uint64_t kSeed = 5;

class DispatcherSenderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherSenderTest);
  CPPUNIT_TEST(RetriesALostAttemptWithTheSameTicket);
  CPPUNIT_TEST(ReportsARefusalWithoutRetry);
  CPPUNIT_TEST(DetectsResultsOfAnotherJob);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { EnsureApplication(); }

 private:
  // A retry with a new ticket could run the job twice.
  void RetriesALostAttemptWithTheSameTicket() {
    FakeEntry good(FakeEntry::Submit::kComplete);
    FakeEntry broken(FakeEntry::Submit::kDrop);
    const JobOutcome outcome = Send({broken.url(), good.url()}, GenerateJob(mix_, kSeed, 3));
    CPPUNIT_ASSERT(outcome.complete());
    CPPUNIT_ASSERT(outcome.results_ok);
    CPPUNIT_ASSERT_EQUAL(2, outcome.attempts);
    CPPUNIT_ASSERT(broken.submitted() == good.submitted());
  }

  void ReportsARefusalWithoutRetry() {
    FakeEntry refusing(FakeEntry::Submit::kRefuse);
    const JobOutcome outcome = Send({refusing.url()}, GenerateJob(mix_, kSeed, 3));
    CPPUNIT_ASSERT(outcome.answered);
    CPPUNIT_ASSERT_EQUAL(api::NOT_RUN, outcome.verdict);
    CPPUNIT_ASSERT_EQUAL(api::QUOTA_EXCEEDED, outcome.reason);
    CPPUNIT_ASSERT_EQUAL(1, outcome.attempts);
  }

  // The results of another job must not count as those of this one.
  void DetectsResultsOfAnotherJob() {
    FakeEntry entry(FakeEntry::Submit::kComplete);
    GeneratedJob job = GenerateJob(mix_, kSeed, 3);
    job.number = 4;
    const JobOutcome outcome = Send({entry.url()}, std::move(job));
    CPPUNIT_ASSERT(outcome.complete());
    CPPUNIT_ASSERT(!outcome.results_ok);
  }

  JobOutcome Send(const std::vector<std::string>& entries, GeneratedJob job) {
    const auto client = http::MakeClient(4);
    TicketPool tickets(*client, entries, mix_.service, 1, kSeed);
    HistoryFile history;
    DispatcherSender sender(*client, entries, tickets, history, kSeed);
    JobOutcome begun;
    begun.deadline = std::chrono::milliseconds(job.job.deadline_ms());
    JobOutcome ended;
    QEventLoop loop;
    sender.Send(std::move(job), begun, [&](const JobOutcome& outcome) {
      ended = outcome;
      loop.quit();
    });
    loop.exec();
    return ended;
  }

  WorkloadMix mix_ = *MakeMix("atlas", std::chrono::milliseconds(50));
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherSenderTest);

}  // namespace
}  // namespace coltsfoottide::console
