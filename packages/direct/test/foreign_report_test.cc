#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <vector>

#include "collected_reports.h"
#include "coltsfoottide/direct/run_executor.h"
#include "direct_samples.h"
#include "fake_worker_port.h"

namespace coltsfoottide::direct {
namespace {

constexpr char kOwner[] = "entry-1";
constexpr std::int64_t kPresent = 1000;
constexpr std::int64_t kForeign = 5000;

// Reports at an agent that are not of its backend server's present incarnation: of another
// writer, or delayed.
class ForeignReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForeignReportTest);
  CPPUNIT_TEST(RunsGoOnBesideAForeignReport);
  CPPUNIT_TEST(ForeignReportWithTheSameBirthIsRefuted);
  CPPUNIT_TEST(AnswerToAnEarlierCallDecidesNothing);
  CPPUNIT_TEST(ReportIsTakenOverOnceThePresentIncarnationIsGone);
  CPPUNIT_TEST(ReportIsTakenOverWhenItsIncarnationAnswers);
  CPPUNIT_TEST(SilenceProvesNothing);
  CPPUNIT_TEST(ForeignReportBeforeTheFirstAnswerIsRefuted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    port_ = FakeWorkerPort();
    reports_ = CollectedReports();
    executor_ = std::make_unique<RunExecutor>(RunExecutor::Tuning{Ms(1000), Ms(700), Ms(1200)},
                                              port_, reports_);
    executor_->OnWorkerReport(SampleReport(1), kStart);
    executor_->OnOwnerConfirmed(kOwner, kStart);
  }

 private:
  static WorkerReport ForeignReport() {
    WorkerReport report = SampleReport(1);
    report.id = "i-2";
    report.incarnation = kForeign;
    report.description.service = "archive";
    return report;
  }
  // A run that the backend server has listed as running.
  RunId StartListedRun() {
    const RunOrder order = SampleOrder("j", 0);
    executor_->OnOrder(kOwner, order, kStart);
    executor_->OnStartResult(order.id, StartResult::kStarted, kStart + Ms(1));
    Answer(kPresent, kStart + Ms(10));
    return order.id;
  }
  // The backend server answers the latest lease renewal, with the run if it is the present
  // incarnation.
  void Answer(std::int64_t incarnation, core::TimePoint now) {
    std::vector<RunningRun> running;
    if (incarnation == kPresent) running.push_back({SampleOrder("j", 0).id, 10});
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number,
                              LeaseRenewal{incarnation, running, {}}, CallFailure::kNoAnswer, now);
  }

  // Guards against a second run of a task while the first goes on: another writer's report
  // must not end the runs of a backend server that is there (review/1).
  void RunsGoOnBesideAForeignReport() {
    StartListedRun();
    CPPUNIT_ASSERT(!executor_->OnWorkerReport(ForeignReport(), kStart + Ms(20)));
    Answer(kPresent, kStart + Ms(30));
    Answer(kPresent, kStart + Ms(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reports_.Count(RunReport::Kind::kLost));
    CPPUNIT_ASSERT_EQUAL(0, reports_.crashes);
    CPPUNIT_ASSERT((port_.used_ids == std::vector<std::string>{"i-1"}));
    CPPUNIT_ASSERT((reports_.refuted == std::vector<std::string>{"i-2"}));
    // Guards against ignoring the backend server from then on.
    CPPUNIT_ASSERT(executor_->OnWorkerReport(SampleReport(2), kStart + Ms(50)));
    CPPUNIT_ASSERT_EQUAL(std::string("review"), executor_->Description().service);
    CPPUNIT_ASSERT(executor_->State(kStart + Ms(50)).ready);
  }

  // Guards against calls to another id that has the same time of birth.
  void ForeignReportWithTheSameBirthIsRefuted() {
    StartListedRun();
    WorkerReport foreign = ForeignReport();
    foreign.incarnation = kPresent;
    CPPUNIT_ASSERT(!executor_->OnWorkerReport(foreign, kStart + Ms(20)));
    Answer(kPresent, kStart + Ms(30));
    Answer(kPresent, kStart + Ms(40));
    CPPUNIT_ASSERT((port_.used_ids == std::vector<std::string>{"i-1"}));
    CPPUNIT_ASSERT((reports_.refuted == std::vector<std::string>{"i-2"}));
  }

  // Guards against dropping the report of a restarted backend server because the earlier
  // incarnation has answered a call that was sent before.
  void AnswerToAnEarlierCallDecidesNothing() {
    StartListedRun();
    const std::uint64_t earlier = port_.renewals.back().renewal_number;
    executor_->OnWorkerReport(ForeignReport(), kStart + Ms(20));
    executor_->OnLeaseRenewal(earlier, LeaseRenewal{kPresent, {}, {}}, CallFailure::kNoAnswer,
                              kStart + Ms(25));
    CPPUNIT_ASSERT(reports_.refuted.empty());
    CPPUNIT_ASSERT(port_.renewals.back().renewal_number > earlier);
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number, std::nullopt,
                              CallFailure::kWorkerGone, kStart + Ms(30));
    CPPUNIT_ASSERT((port_.used_ids == std::vector<std::string>{"i-1", "i-2"}));
  }

  // Guards against waiting for a further report of a backend server that has restarted.
  void ReportIsTakenOverOnceThePresentIncarnationIsGone() {
    StartListedRun();
    executor_->OnWorkerReport(ForeignReport(), kStart + Ms(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reports_.Count(RunReport::Kind::kLost));
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number, std::nullopt,
                              CallFailure::kWorkerGone, kStart + Ms(30));
    CPPUNIT_ASSERT(reports_.Count(RunReport::Kind::kLost) > 0);
    CPPUNIT_ASSERT_EQUAL(1, reports_.crashes);
    CPPUNIT_ASSERT((port_.used_ids == std::vector<std::string>{"i-1", "i-2"}));
    CPPUNIT_ASSERT(executor_->State(kStart + Ms(30)).ready);
  }

  // The same for one that has kept its id, so that it answers in place of the earlier
  // incarnation.
  void ReportIsTakenOverWhenItsIncarnationAnswers() {
    StartListedRun();
    WorkerReport next = SampleReport(1);
    next.incarnation = kForeign;
    executor_->OnWorkerReport(next, kStart + Ms(20));
    Answer(kForeign, kStart + Ms(30));
    CPPUNIT_ASSERT(reports_.Count(RunReport::Kind::kLost) > 0);
    CPPUNIT_ASSERT(reports_.refuted.empty());
    CPPUNIT_ASSERT(executor_->State(kStart + Ms(30)).ready);
  }

  // Guards against ending runs because a backend server that was only slow to answer has been
  // reported as another one.
  void SilenceProvesNothing() {
    StartListedRun();
    executor_->OnWorkerReport(ForeignReport(), kStart + Ms(20));
    for (int ms = 40; ms <= 400; ms += 20) executor_->Advance(kStart + Ms(ms));
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number, std::nullopt,
                              CallFailure::kNoAnswer, kStart + Ms(410));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reports_.Count(RunReport::Kind::kLost));
    CPPUNIT_ASSERT((port_.used_ids == std::vector<std::string>{"i-1"}));
  }

  // An agent restarts. Guards against using the first report of all, before the backend server
  // has answered.
  void ForeignReportBeforeTheFirstAnswerIsRefuted() {
    FakeWorkerPort port;
    RunExecutor restarted({Ms(1000), Ms(700), Ms(1200)}, port, reports_);
    restarted.Begin(kStart);
    CPPUNIT_ASSERT(!restarted.OnWorkerReport(ForeignReport(), kStart + Ms(1)));
    restarted.OnLeaseRenewal(port.renewals.back().renewal_number, LeaseRenewal{kPresent, {}, {}},
                             CallFailure::kNoAnswer, kStart + Ms(2));
    restarted.OnLeaseRenewal(port.renewals.back().renewal_number, LeaseRenewal{kPresent, {}, {}},
                             CallFailure::kNoAnswer, kStart + Ms(3));
    CPPUNIT_ASSERT(port.used_ids.empty());
    CPPUNIT_ASSERT((reports_.refuted == std::vector<std::string>{"i-2"}));
    CPPUNIT_ASSERT(restarted.OnWorkerReport(SampleReport(1), kStart + Ms(4)));
  }

  FakeWorkerPort port_;
  CollectedReports reports_;
  std::unique_ptr<RunExecutor> executor_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignReportTest);

}  // namespace
}  // namespace coltsfoottide::direct
