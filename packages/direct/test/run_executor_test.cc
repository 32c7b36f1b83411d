#include "coltsfoottide/direct/run_executor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "coltsfoottide/direct/report_sink.h"
#include "direct_samples.h"
#include "fake_worker_port.h"

namespace coltsfoottide::direct {
namespace {

constexpr core::Duration kLease = std::chrono::seconds(1);
constexpr core::Duration kOwnerLease = std::chrono::milliseconds(700);
constexpr core::Duration kRunLimit = std::chrono::milliseconds(1200);
constexpr char kOwner[] = "entry-1";
constexpr char kOtherOwner[] = "entry-2";

class RecordingReports : public ReportSink {
 public:
  void Report(const std::string& owner, const RunReport& report) override {
    reports.emplace_back(owner, report);
  }
  void ReportCrash(const WorkerCrash& crash) override { crashes.push_back(crash); }
  void OnReportRefuted(const WorkerReport& /*report*/) override {}
  std::size_t Count(RunReport::Kind kind) const {
    return static_cast<std::size_t>(std::count_if(
        reports.begin(), reports.end(), [kind](const auto& it) { return it.second.kind == kind; }));
  }
  std::vector<std::pair<std::string, RunReport>> reports;
  std::vector<WorkerCrash> crashes;
};

class RunExecutorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunExecutorTest);
  CPPUNIT_TEST(StartsWhatFitsAndQueuesTheRest);
  CPPUNIT_TEST(UnansweredStartIsSentAgain);
  CPPUNIT_TEST(StartThatStaysUnansweredIsStopped);
  CPPUNIT_TEST(RefusalAfterAnUnansweredStartDoesNotProveNotRun);
  CPPUNIT_TEST(LostRenewalIsSentAgain);
  CPPUNIT_TEST(QueueOfSilentWorkerIsReportedNotRun);
  CPPUNIT_TEST(RunsOfSilentOwnerAreStopped);
  CPPUNIT_TEST(OrderReadAfterItsOwnersLeaseIsNotStarted);
  CPPUNIT_TEST(QueuedRunIsNotStartedAfterItsOwnersLease);
  CPPUNIT_TEST(UnansweredStartIsNotSentAgainAfterItsOwnersLease);
  CPPUNIT_TEST(NoRunOutlastsItsOwnersConfirmationByMoreThanItsLimit);
  CPPUNIT_TEST(RunsLastUntilARestartedAgentAdoptsThem);
  CPPUNIT_TEST(LeaseOfUnclaimedRunsIsNotRenewed);
  CPPUNIT_TEST(LeaseIsNotRenewedWithoutRuns);
  CPPUNIT_TEST(NewWorkerIncarnationEndsListedRuns);
  CPPUNIT_TEST(StartThatNewIncarnationMayHaveReceivedIsStopped);
  CPPUNIT_TEST(LateAnswerOfAnEarlierIncarnationChangesNothing);
  CPPUNIT_TEST(LateRefusalChangesNothingForTheNextIncarnation);
  CPPUNIT_TEST(NextIncarnationIsCalledAtOnce);
  CPPUNIT_TEST(OrderForAnEarlierIncarnationIsHandedBack);
  CPPUNIT_TEST(QueuedRunsDoNotStartOnTheNextIncarnation);
  CPPUNIT_TEST(OldReportChangesNothing);
  CPPUNIT_TEST(NextIncarnationIsAcceptedAfterItsClockWasSetBack);
  CPPUNIT_TEST(DrainingWorkerGetsNoRuns);
  CPPUNIT_TEST(RunsOfAnEarlierProcessAreAdoptedOrStopped);
  CPPUNIT_TEST(AdoptedRunsKeepTheirResources);
  CPPUNIT_TEST(ShrunkWorkerStartsNothingUntilRunsHaveEnded);
  CPPUNIT_TEST(UnclaimedRunIsOverBeforeItsCallerComesBack);
  CPPUNIT_TEST(StoppedRunEndsWhenItIsNoLongerListed);
  CPPUNIT_TEST(SameTaskOfAnotherEntryWaitsForTheStop);
  CPPUNIT_TEST(ExpiredLeaseEndsAllRuns);
  CPPUNIT_TEST(CrashIsReportedWithTheRunsThatWereThere);
  CPPUNIT_TEST(StartThatMayHaveCrashedTheWorkerIsPartOfTheCrash);
  CPPUNIT_TEST(SilentCrashIsReportedWhenTheWorkerIsBack);
  CPPUNIT_TEST(NextIncarnationRefusesLateStartsOfListedRuns);
  CPPUNIT_TEST(NextIncarnationRefusesLateStartsAfterACrash);
  CPPUNIT_TEST(PlannedLeaveIsNoCrash);
  CPPUNIT_TEST(SilenceIsNoCrash);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    port_ = FakeWorkerPort();
    reports_ = RecordingReports();
    executor_ = std::make_unique<RunExecutor>(RunExecutor::Tuning{kLease, kOwnerLease, kRunLimit},
                                              port_, reports_);
    executor_->OnWorkerReport(SampleReport(1), kStart);
    executor_->OnOwnerConfirmed(kOwner, kStart);
    executor_->OnOwnerConfirmed(kOtherOwner, kStart);
  }

 private:
  void AnswerRenewal(const std::vector<RunningRun>& running, const std::vector<EndedRun>& ended,
                     core::TimePoint now) {
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number,
                              LeaseRenewal{1000, running, ended}, CallFailure::kNoAnswer, now);
  }
  void RefuseRenewal(core::TimePoint now) {
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number, std::nullopt,
                              CallFailure::kWorkerGone, now);
  }
  RunId Order(std::uint32_t index, core::TimePoint now = kStart) {
    executor_->OnOrder(kOwner, SampleOrder("j", index), now);
    return SampleOrder("j", index).id;
  }

  void AnswerAsNextIncarnation(core::TimePoint now) {
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number, LeaseRenewal{2000, {}, {}},
                              CallFailure::kNoAnswer, now);
  }
  // The backend server has restarted: it reports itself, and answers the call that asks it.
  void ReportNextIncarnation(core::TimePoint now) {
    WorkerReport next = SampleReport(1);
    next.incarnation = 2000;
    executor_->OnWorkerReport(next, now);
    AnswerAsNextIncarnation(now);
    CPPUNIT_ASSERT(executor_->worker_report());
    CPPUNIT_ASSERT_EQUAL(next.incarnation, executor_->worker_report()->incarnation);
  }
  RunId StartAtNextIncarnation(core::TimePoint now) {
    RunId id = Order(1, now);
    CPPUNIT_ASSERT(port_.starts.back() == id);
    executor_->OnStartResult(id, StartResult::kStarted, now);
    return id;
  }
  bool WasLost(const RunId& id) const {
    return std::any_of(reports_.reports.begin(), reports_.reports.end(), [&id](const auto& it) {
      return it.second.id == id && it.second.kind == RunReport::Kind::kLost;
    });
  }

  // Guards against starting more runs than the backend server has resources
  // for.
  void StartsWhatFitsAndQueuesTheRest() {
    const RunId first = Order(0);
    Order(1);
    const RunId third = Order(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kQueued));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6000 * 60}, executor_->State(kStart).queued_work);
    executor_->OnStartResult(first, StartResult::kStarted, kStart + Ms(1));
    AnswerRenewal({}, {{1, first, EndedRun::Outcome::kDone}}, kStart + Ms(60));
    CPPUNIT_ASSERT(port_.starts.back() == third);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kDone));
  }

  // The answer to a start is lost. Guards against waiting seconds for a start
  // that was never carried out; the run number makes the repeated start
  // idempotent.
  void UnansweredStartIsSentAgain() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kUnknown, kStart + Ms(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.starts.size());
    CPPUNIT_ASSERT(port_.starts[1] == id);
    CPPUNIT_ASSERT(port_.stops.empty());
  }

  // Guards against a run that starts after it has been given up.
  void StartThatStaysUnansweredIsStopped() {
    const RunId id = Order(0);
    for (int i = 1; i <= 6; ++i) {
      CPPUNIT_ASSERT(port_.stops.empty());
      executor_->OnStartResult(id, StartResult::kUnknown, kStart + Ms(50 * i));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.stops.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reports_.Count(RunReport::Kind::kLost));
    executor_->OnStopResult(id, true, kStart + Ms(210));
    executor_->Advance(kStart + Ms(300));
    AnswerRenewal({}, {}, kStart + Ms(310));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kLost));
  }

  // Guards against reporting "not run" for a run whose first start may have
  // been carried out.
  void RefusalAfterAnUnansweredStartDoesNotProveNotRun() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kUnknown, kStart + Ms(50));
    executor_->OnStartResult(id, StartResult::kUnhealthy, kStart + Ms(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reports_.Count(RunReport::Kind::kNotRun));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.stops.size());
  }

  // The answer to a lease renewal is lost. Guards against missing the ends of
  // all runs until the lease renewal times out.
  void LostRenewalIsSentAgain() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.renewals.size());
    executor_->Advance(kStart + Ms(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.renewals.size());
    // Two lease renewals, so that the next loss does not hide the ends again.
    executor_->Advance(kStart + Ms(80));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, port_.renewals.size());
    AnswerRenewal({}, {{1, id, EndedRun::Outcome::kDone}}, kStart + Ms(81));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kDone));
  }

  // Guards against runs that stay queued for a backend server that does not
  // answer.
  void QueueOfSilentWorkerIsReportedNotRun() {
    Order(0);
    Order(1);
    Order(2);
    for (int ms = 20; ms <= 320; ms += 20) executor_->Advance(kStart + Ms(ms));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kNotRun));
    CPPUNIT_ASSERT(!executor_->State(kStart).ready);
    AnswerRenewal({}, {}, kStart + Ms(330));
    CPPUNIT_ASSERT(executor_->State(kStart).ready);
  }

  // An entry is silent for longer than its lease. Guards against two runs of a
  // task at a time when the caller has submitted the job again through another
  // entry.
  void RunsOfSilentOwnerAreStopped() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(1));
    AnswerRenewal({{id, 10}}, {}, kStart + Ms(600));
    executor_->Advance(kStart + kOwnerLease);
    CPPUNIT_ASSERT(port_.stops.empty());
    executor_->Advance(kStart + kOwnerLease + Ms(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.stops.size());
  }

  // An agent stands still and reads on waking an order that was sent before. Guards
  // against a second run of a task that its entry has placed elsewhere meanwhile.
  void OrderReadAfterItsOwnersLeaseIsNotStarted() {
    Order(0, kStart + kOwnerLease + Ms(1));
    CPPUNIT_ASSERT(port_.starts.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kNotRun));
    executor_->OnOwnerConfirmed(kOwner, kStart + kOwnerLease);
    Order(1, kStart + kOwnerLease + Ms(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.starts.size());
  }

  // The same for a run in the agent's queue, when the first event on waking is an answer
  // of the backend server that frees resources.
  void QueuedRunIsNotStartedAfterItsOwnersLease() {
    const RunId first = Order(0);
    Order(1);
    Order(2);
    executor_->OnStartResult(first, StartResult::kStarted, kStart + Ms(1));
    AnswerRenewal({}, {{1, first, EndedRun::Outcome::kDone}}, kStart + kOwnerLease + Ms(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kNotRun));
  }

  // The same for a start that is repeated.
  void UnansweredStartIsNotSentAgainAfterItsOwnersLease() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kUnknown, kStart + kOwnerLease + Ms(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.stops.size());
    CPPUNIT_ASSERT(port_.stops.front() == id);
  }

  // An entry dies, and the agent some time before it would stop the entry's runs. Guards
  // against a run that goes on when the entry's caller is back, whenever the agent dies and
  // however long it stays away.
  void NoRunOutlastsItsOwnersConfirmationByMoreThanItsLimit() {
    const RunId first = Order(0, kStart + Ms(5));
    executor_->OnStartResult(first, StartResult::kStarted, kStart + Ms(6));
    for (int ms = 20; ms <= 700; ms += 20) {
      if (ms == 200) executor_->OnOwnerConfirmed(kOtherOwner, kStart + Ms(ms));
      if (ms == 300) executor_->OnOrder(kOtherOwner, SampleOrder("other", 0), kStart + Ms(ms));
      executor_->Advance(kStart + Ms(ms));
      AnswerRenewal({{first, ms / 10}}, {}, kStart + Ms(ms));
      CPPUNIT_ASSERT(port_.latest_lease_end == kStart + std::min(Ms(ms) + kLease, kRunLimit));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.starts.size());
    executor_->OnOwnerConfirmed(kOwner, kStart + Ms(650));
    executor_->OnOwnerConfirmed(kOtherOwner, kStart + Ms(660));
    AnswerRenewal({{first, 70}}, {}, kStart + Ms(710));
    CPPUNIT_ASSERT(port_.latest_lease_end == kStart + Ms(710) + kLease);
  }

  // An agent dies just before a message of it is confirmed. Guards against runs that have
  // lapsed when its next process, 850 ms later, could adopt them.
  void RunsLastUntilARestartedAgentAdoptsThem() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(1));
    const core::TimePoint death = kStart + Ms(300);
    AnswerRenewal({{id, 30}}, {}, death);
    CPPUNIT_ASSERT(port_.latest_lease_end >= death + Ms(850));
  }

  // An agent restarts after an entry has died. Guards against keeping runs alive that
  // nobody claims, and against an adopted run that counts as over while it goes on.
  void LeaseOfUnclaimedRunsIsNotRenewed() {
    FakeWorkerPort port;
    RunExecutor restarted({kLease, kOwnerLease, kRunLimit}, port, reports_);
    restarted.Begin(kStart);
    const RunId id{{"j", 0, 0}, 1};
    restarted.OnLeaseRenewal(port.renewals.back().renewal_number, LeaseRenewal{1000, {{id, 5}}, {}},
                             CallFailure::kNoAnswer, kStart + Ms(1));
    restarted.Advance(kStart + Ms(2));
    CPPUNIT_ASSERT(!port.renewals.back().lease_end);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reports_.Count(RunReport::Kind::kLost));
    restarted.OnOwnerConfirmed(kOwner, kStart + Ms(20));
    restarted.OnClaim(kOwner, id, Resources{6000, 64, 0});
    restarted.OnLeaseRenewal(port.renewals.back().renewal_number, LeaseRenewal{1000, {{id, 6}}, {}},
                             CallFailure::kNoAnswer, kStart + Ms(52));
    CPPUNIT_ASSERT(port.renewals.back().lease_end == kStart + Ms(52) + kLease);
  }

  // The call that acknowledges the end of the last run is a lease renewal too. Guards against
  // an order that has to wait for its entry's next message, because that renewal has extended
  // the lease beyond what the entry's latest confirmation allows.
  void LeaseIsNotRenewedWithoutRuns() {
    const RunId first = Order(0);
    executor_->OnStartResult(first, StartResult::kStarted, kStart + Ms(1));
    AnswerRenewal({}, {{1, first, EndedRun::Outcome::kDone}}, kStart + Ms(300));
    CPPUNIT_ASSERT(!port_.renewals.back().lease_end);
    Order(1, kStart + Ms(400));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.starts.size());
  }

  // Guards against waiting for runs of a backend server that has restarted
  // under the same id.
  void NewWorkerIncarnationEndsListedRuns() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(1));
    AnswerRenewal({{id, 10}}, {}, kStart + Ms(50));
    ReportNextIncarnation(kStart + Ms(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kLost));
    CPPUNIT_ASSERT(executor_->State(kStart).ready);
  }

  // A backend server restarts while a start is in transit. Guards against two
  // runs at a time: the new incarnation may have started the run, so the
  // restart alone does not end it.
  void StartThatNewIncarnationMayHaveReceivedIsStopped() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(1));
    ReportNextIncarnation(kStart + Ms(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reports_.Count(RunReport::Kind::kLost));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.stops.size());
    executor_->OnStopResult(id, true, kStart + Ms(22));
    executor_->Advance(kStart + Ms(100));
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number, LeaseRenewal{2000, {}, {}},
                              CallFailure::kNoAnswer, kStart + Ms(101));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kLost));
  }

  // An agent that stood still reads the report of a new incarnation, and later an answer of
  // the earlier one. Guards against treating the runs of the new one as over, which starts
  // them a second time elsewhere.
  void LateAnswerOfAnEarlierIncarnationChangesNothing() {
    const RunId earlier = Order(0);
    executor_->OnStartResult(earlier, StartResult::kStarted, kStart + Ms(1));
    const std::uint64_t unanswered = port_.renewals.back().renewal_number;
    ReportNextIncarnation(kStart + Ms(100));
    const RunId id = StartAtNextIncarnation(kStart + Ms(110));
    executor_->OnLeaseRenewal(unanswered, LeaseRenewal{1000, {{earlier, 5}}, {}},
                              CallFailure::kNoAnswer, kStart + Ms(200));
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number,
                              LeaseRenewal{2000, {{id, 50}}, {}}, CallFailure::kNoAnswer,
                              kStart + Ms(210));
    CPPUNIT_ASSERT(!WasLost(id));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, std::count(port_.stops.begin(), port_.stops.end(), id));
    CPPUNIT_ASSERT(executor_->State(kStart + Ms(210)).ready);
  }

  // The same for calls that were refused before the new incarnation listened.
  void LateRefusalChangesNothingForTheNextIncarnation() {
    const RunId earlier = Order(0);
    const std::uint64_t unanswered = port_.renewals.back().renewal_number;
    ReportNextIncarnation(kStart + Ms(100));
    const RunId id = StartAtNextIncarnation(kStart + Ms(110));
    executor_->OnLeaseRenewal(unanswered, std::nullopt, CallFailure::kWorkerGone, kStart + Ms(200));
    executor_->OnStartResult(earlier, StartResult::kWorkerGone, kStart + Ms(201));
    CPPUNIT_ASSERT(!WasLost(id));
    CPPUNIT_ASSERT(executor_->State(kStart + Ms(201)).ready);
  }

  // Guards against a new incarnation that does not know the agent's fencing token until it
  // gets its first run, and so carries out late calls to the one before.
  void NextIncarnationIsCalledAtOnce() {
    executor_->OnLeaseRenewal(1, LeaseRenewal{1000, {}, {}}, CallFailure::kNoAnswer, kStart);
    const std::size_t before = port_.renewals.size();
    ReportNextIncarnation(kStart + Ms(100));
    // One call asks whether the earlier incarnation is there, one carries the raised token.
    CPPUNIT_ASSERT_EQUAL(before + 2, port_.renewals.size());
    AnswerAsNextIncarnation(kStart + Ms(101));
    CPPUNIT_ASSERT_EQUAL(before + 2, port_.renewals.size());
  }

  // An order is on its way while the backend server starts again, perhaps as one of another kind.
  // Guards against a run there that the entry has placed by the earlier kind.
  void OrderForAnEarlierIncarnationIsHandedBack() {
    executor_->OnLeaseRenewal(1, LeaseRenewal{1000, {}, {}}, CallFailure::kNoAnswer, kStart);
    RunOrder order = SampleOrder("j", 0);
    order.incarnation = executor_->Description().incarnation;
    ReportNextIncarnation(kStart + Ms(100));
    executor_->OnOrder(kOwner, order, kStart + Ms(110));
    CPPUNIT_ASSERT(port_.starts.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kNotRun));
    order.incarnation = executor_->Description().incarnation;
    executor_->OnOrder(kOwner, order, kStart + Ms(110));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.starts.size());
  }

  // An answer shows that the backend server has started again under the same id, and so the ends of
  // its runs. Guards against queued runs that take their place before the new incarnation has said
  // which kind it is.
  void QueuedRunsDoNotStartOnTheNextIncarnation() {
    const RunId first = Order(0);
    const RunId second = Order(1);
    for (const RunId& it : {first, second}) {
      executor_->OnStartResult(it, StartResult::kStarted, kStart + Ms(1));
    }
    AnswerRenewal({{first, 10}, {second, 10}}, {}, kStart + Ms(10));
    Order(2, kStart + Ms(20));
    executor_->Advance(kStart + Ms(70));
    AnswerAsNextIncarnation(kStart + Ms(80));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reports_.Count(RunReport::Kind::kLost));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kNotRun));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.starts.size());
  }

  // Guards against a delayed report of an earlier incarnation or with an
  // earlier sequence number.
  void OldReportChangesNothing() {
    WorkerReport late = SampleReport(1);
    late.draining = true;
    CPPUNIT_ASSERT(!executor_->OnWorkerReport(late, kStart));
    late.incarnation = 500;
    late.sequence = 99;
    CPPUNIT_ASSERT(!executor_->OnWorkerReport(late, kStart));
    CPPUNIT_ASSERT(!executor_->State(kStart).draining);
  }

  // The clock of the backend server's machine is set back, and the server restarts. Guards
  // against ignoring it for good, and against accepting late reports of the incarnation
  // before.
  void NextIncarnationIsAcceptedAfterItsClockWasSetBack() {
    executor_->OnLeaseRenewal(1, LeaseRenewal{1000, {}, {}}, CallFailure::kNoAnswer, kStart);
    const std::size_t before = port_.renewals.size();
    WorkerReport next = SampleReport(1);
    next.incarnation = 900;
    CPPUNIT_ASSERT(!executor_->OnWorkerReport(next, kStart + Ms(100)));
    CPPUNIT_ASSERT_EQUAL(before + 1, port_.renewals.size());
    RefuseRenewal(kStart + Ms(101));
    CPPUNIT_ASSERT(executor_->OnWorkerReport(next, kStart + Ms(1600)));
    CPPUNIT_ASSERT(!executor_->OnWorkerReport(SampleReport(9), kStart + Ms(1700)));
    CPPUNIT_ASSERT(executor_->State(kStart + Ms(1700)).ready);
  }

  // Guards against starts on a backend server that is draining.
  void DrainingWorkerGetsNoRuns() {
    Order(0);
    Order(1);
    Order(2);
    WorkerReport report = SampleReport(2);
    report.draining = true;
    executor_->OnWorkerReport(report, kStart + Ms(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kNotRun));
    Order(3, kStart + Ms(6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reports_.Count(RunReport::Kind::kNotRun));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.starts.size());
  }

  // An agent restarts. Guards against stopping runs that their entry claims,
  // and against keeping runs that no entry claims.
  void RunsOfAnEarlierProcessAreAdoptedOrStopped() {
    FakeWorkerPort port;
    RunExecutor restarted({kLease, kOwnerLease, kRunLimit}, port, reports_);
    restarted.Begin(kStart);
    const RunId claimed{{"j", 0, 0}, 1};
    const RunId unclaimed{{"j", 0, 1}, 1};
    restarted.OnLeaseRenewal(port.renewals.back().renewal_number,
                             LeaseRenewal{1000, {{claimed, 5}, {unclaimed, 5}}, {}},
                             CallFailure::kNoAnswer, kStart + Ms(1));
    CPPUNIT_ASSERT(restarted.runs_known());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, restarted.RunsFor(kOwner).size());
    restarted.OnClaim(kOwner, claimed, Resources{6000, 64, 0});
    restarted.OnOwnerConfirmed(kOwner, kStart + Ms(500));
    restarted.Advance(kStart + Ms(701));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port.stops.size());
    CPPUNIT_ASSERT(port.stops[0] == unclaimed);
  }

  // An agent restarts while a run occupies half of a backend server that starts whatever
  // it is told. Guards against filling it beyond what it has: the list of runs does not say
  // what they need, only their entries know.
  void AdoptedRunsKeepTheirResources() {
    FakeWorkerPort port;
    RunExecutor restarted({kLease, kOwnerLease, kRunLimit}, port, reports_);
    restarted.Begin(kStart);
    const RunId adopted{{"earlier", 0, 0}, 1};
    restarted.OnLeaseRenewal(port.renewals.back().renewal_number,
                             LeaseRenewal{1000, {{adopted, 5}}, {}}, CallFailure::kNoAnswer,
                             kStart + Ms(1));
    restarted.OnWorkerReport(SampleReport(1), kStart + Ms(2));
    restarted.OnOwnerConfirmed(kOwner, kStart + Ms(2));
    restarted.OnOrder(kOwner, SampleOrder("j", 0), kStart + Ms(3));
    restarted.OnOrder(kOwner, SampleOrder("j", 1), kStart + Ms(3));
    CPPUNIT_ASSERT(port.starts.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, restarted.State(kStart + Ms(3)).free.cpu_millicores);
    restarted.OnClaim(kOwner, adopted, Resources{6000, 64, 0});
    restarted.Advance(kStart + Ms(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port.starts.size());
  }

  // The backend server reports that it has less than before. Guards against starts by the
  // resources of the last report, and against counting a run that is being stopped as
  // gone.
  void ShrunkWorkerStartsNothingUntilRunsHaveEnded() {
    const RunId first = Order(0);
    const RunId second = Order(1);
    executor_->OnStartResult(first, StartResult::kStarted, kStart + Ms(1));
    executor_->OnStartResult(second, StartResult::kStarted, kStart + Ms(1));
    Order(2);
    WorkerReport shrunk = SampleReport(2);
    shrunk.description.total = {6000, 1024, 0};
    executor_->OnWorkerReport(shrunk, kStart + Ms(2));
    executor_->OnStop(first, kStart + Ms(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.starts.size());
    AnswerRenewal({{second, 90}}, {{1, first, EndedRun::Outcome::kOther}}, kStart + Ms(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.starts.size());
    AnswerRenewal({}, {{2, second, EndedRun::Outcome::kDone}}, kStart + Ms(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, port_.starts.size());
  }

  // An entry dies, and the agent dies just before it would stop the entry's runs;
  // its next process starts 200 ms later. Guards against a run that goes on while
  // the caller, who comes back 1300 ms after the entry's death, has a second one
  // elsewhere.
  void UnclaimedRunIsOverBeforeItsCallerComesBack() {
    const core::Duration restart_time = Ms(200);
    const core::Duration stop_time = Ms(50);
    FakeWorkerPort port;
    RunExecutor restarted({kLease, kOwnerLease, kRunLimit}, port, reports_);
    const core::TimePoint begin = kStart + Ms(700) + restart_time;
    restarted.Begin(begin);
    restarted.OnLeaseRenewal(port.renewals.back().renewal_number,
                             LeaseRenewal{1000, {{{{"j", 0, 0}, 1}, 5}}, {}},
                             CallFailure::kNoAnswer, begin);
    restarted.Advance(kStart + Ms(1300) - stop_time);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port.stops.size());
  }

  // Guards against ordering a task again while its stopped run may continue.
  void StoppedRunEndsWhenItIsNoLongerListed() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(1));
    executor_->OnStop(id, kStart + Ms(10));
    AnswerRenewal({{id, 10}}, {}, kStart + Ms(20));
    executor_->OnStopResult(id, true, kStart + Ms(21));
    // This lease renewal was sent before the stop was answered.
    AnswerRenewal({}, {}, kStart + Ms(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reports_.Count(RunReport::Kind::kLost));
    AnswerRenewal({}, {}, kStart + Ms(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kLost));
  }

  // Guards against two runs of a task at a time on one backend server.
  void SameTaskOfAnotherEntryWaitsForTheStop() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(1));
    RunOrder again = SampleOrder("j", 0);
    again.id.number = 2;
    executor_->OnOrder(kOtherOwner, again, kStart + Ms(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.stops.size());
    AnswerRenewal({}, {{1, id, EndedRun::Outcome::kOther}}, kStart + Ms(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.starts.size());
    CPPUNIT_ASSERT(port_.starts[1] == again.id);
  }

  // Guards against waiting for a backend server that has been unreachable for
  // longer than its lease.
  void ExpiredLeaseEndsAllRuns() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(1));
    executor_->Advance(kStart + Ms(1031));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kLost));
  }

  // Guards against a crash that cannot be told from a stop or a lapsed lease.
  void CrashIsReportedWithTheRunsThatWereThere() {
    const RunId first = Order(0);
    const RunId second = Order(1, kStart + Ms(30));
    executor_->OnStartResult(first, StartResult::kStarted, kStart + Ms(31));
    executor_->OnStartResult(second, StartResult::kStarted, kStart + Ms(31));
    RefuseRenewal(kStart + Ms(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.crashes.size());
    const WorkerCrash& crash = reports_.crashes.front();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, crash.incarnation);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crash.runs.size());
    CPPUNIT_ASSERT(crash.runs[0].id == first && crash.runs[0].ran_for == Ms(50));
    CPPUNIT_ASSERT(crash.runs[1].id == second && crash.runs[1].ran_for == Ms(20));
    CPPUNIT_ASSERT(crash.runs[0].confirmed && crash.runs[1].confirmed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reports_.Count(RunReport::Kind::kLost));
    // The next incarnation is no second crash.
    WorkerReport next = SampleReport(1);
    next.incarnation = 2000;
    executor_->OnWorkerReport(next, kStart + Ms(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, executor_->recent_crashes().size());
    executor_->Advance(kStart + std::chrono::seconds(31));
    CPPUNIT_ASSERT(executor_->recent_crashes().empty());
  }

  // A backend server crashes before it answers the start. Guards against overlooking
  // the run that crashed it, which is reported as lost and not as not run.
  void StartThatMayHaveCrashedTheWorkerIsPartOfTheCrash() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kUnknown, kStart + Ms(20));
    executor_->OnStartResult(id, StartResult::kWorkerGone, kStart + Ms(21));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.crashes.size());
    CPPUNIT_ASSERT(reports_.crashes.front().runs.front().id == id);
    CPPUNIT_ASSERT(!reports_.crashes.front().runs.front().confirmed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kLost));
  }

  // Guards against overlooking a crash that shows itself only by silence, and by a
  // new incarnation after the lease has lapsed.
  void SilentCrashIsReportedWhenTheWorkerIsBack() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(1));
    executor_->Advance(kStart + Ms(1031));
    CPPUNIT_ASSERT(reports_.crashes.empty());
    ReportNextIncarnation(kStart + Ms(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.crashes.size());
    CPPUNIT_ASSERT(reports_.crashes.front().runs.front().id == id);
  }

  // The answer to a start is lost, the repeated start is carried out, and the backend server
  // restarts. Guards against a second run of the task there when the first copy of the start
  // arrives late (soak, seed 108).
  void NextIncarnationRefusesLateStartsOfListedRuns() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kUnknown, kStart + Ms(20));
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(21));
    AnswerRenewal({{id, 5}}, {}, kStart + Ms(30));
    ReportNextIncarnation(kStart + Ms(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.stops.size());
    CPPUNIT_ASSERT(port_.stops.front() == id);
  }

  // The same, with a crash that was noticed by a refused connection.
  void NextIncarnationRefusesLateStartsAfterACrash() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kUnknown, kStart + Ms(20));
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(21));
    RefuseRenewal(kStart + Ms(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kLost));
    WorkerReport next = SampleReport(1);
    next.incarnation = 2000;
    executor_->OnWorkerReport(next, kStart + Ms(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.stops.size());
    CPPUNIT_ASSERT(port_.stops.front() == id);
    // It is sent again until it is answered.
    executor_->OnStopResult(id, false, kStart + Ms(3020));
    executor_->Advance(kStart + Ms(3100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.stops.size());
    executor_->OnStopResult(id, true, kStart + Ms(3110));
    executor_->Advance(kStart + Ms(3200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.stops.size());
  }

  // Guards against counting a backend server that leaves as announced as crashed.
  void PlannedLeaveIsNoCrash() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(1));
    WorkerReport draining = SampleReport(2);
    draining.draining = true;
    executor_->OnWorkerReport(draining, kStart + Ms(10));
    RefuseRenewal(kStart + Ms(50));
    CPPUNIT_ASSERT(reports_.crashes.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kLost));
  }

  // Guards against counting a backend server as crashed that was only silent until
  // its lease lapsed.
  void SilenceIsNoCrash() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(1));
    executor_->Advance(kStart + Ms(1031));
    AnswerRenewal({}, {}, kStart + Ms(1500));
    ReportNextIncarnation(kStart + Ms(3000));
    CPPUNIT_ASSERT(reports_.crashes.empty());
  }

  FakeWorkerPort port_;
  RecordingReports reports_;
  std::unique_ptr<RunExecutor> executor_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunExecutorTest);

}  // namespace
}  // namespace coltsfoottide::direct
