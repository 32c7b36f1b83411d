#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

#include "coltsfoottide/direct/report_sink.h"
#include "coltsfoottide/direct/run_executor.h"
#include "coltsfoottide/direct/time_bounds.h"
#include "direct_samples.h"
#include "fake_worker_port.h"

namespace coltsfoottide::direct {
namespace {

constexpr char kOwner[] = "entry-1";
constexpr char kOtherOwner[] = "entry-2";
constexpr core::Duration kLease = std::chrono::seconds(1);
constexpr core::Duration kTick = std::chrono::milliseconds(20);
constexpr std::int64_t kPresent = 1000;
constexpr std::int64_t kNext = 2000;

class KeptReports : public ReportSink {
 public:
  void Report(const std::string& /*owner*/, const RunReport& report) override {
    reports.push_back(report);
  }
  void ReportCrash(const WorkerCrash& crash) override { crashes.push_back(crash); }
  void OnReportRefuted(const WorkerReport& /*report*/) override {}
  bool Has(const RunId& id, RunReport::Kind kind) const {
    return std::any_of(reports.begin(), reports.end(),
                       [&](const RunReport& it) { return it.id == id && it.kind == kind; });
  }
  std::size_t CountCrashes(WorkerCrash::Kind kind) const {
    return static_cast<std::size_t>(std::count_if(
        crashes.begin(), crashes.end(), [kind](const WorkerCrash& it) { return it.kind == kind; }));
  }

  std::vector<RunReport> reports;
  std::vector<WorkerCrash> crashes;
};

// A backend server to which connections are refused: it may have ended, or be cut off and run on.
class RefusedConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusedConnectionTest);
  CPPUNIT_TEST(RunsAreKeptUntilTheirLeaseEnds);
  CPPUNIT_TEST(RefusedCallsDoNotProlongTheLease);
  CPPUNIT_TEST(CallsWithoutAnswerProlongTheLease);
  CPPUNIT_TEST(RunsGoOnAfterAShortRefusal);
  CPPUNIT_TEST(WhatWasNeverSentIsHandedBackAtOnce);
  CPPUNIT_TEST(StartThatMayHaveArrivedIsNotHandedBack);
  CPPUNIT_TEST(DeferredOrderWaitsForTheEarlierRun);
  CPPUNIT_TEST(OrdersAreTakenAgainAfterTheFirstAnswer);
  CPPUNIT_TEST(ReportAloneBringsNoOrders);
  CPPUNIT_TEST(AnotherIncarnationFreesTheRunsAtOnce);
  CPPUNIT_TEST(ReportOfAnotherIncarnationNeedsProof);
  CPPUNIT_TEST(ReturnIsNoticedAfterTheClockWasSetBack);
  CPPUNIT_TEST(RestartedAgentDoesNotTakeEarlierRunsAsOver);
  CPPUNIT_TEST(RunsOfAnEarlierProcessAreAdoptedAfterARefusal);
  CPPUNIT_TEST(ShortRefusalIsNoCrash);
  CPPUNIT_TEST(CrashIsPresumedWhenTheLeaseHasEnded);
  CPPUNIT_TEST(PresumedCrashIsRetractedByAnAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    port_ = FakeWorkerPort();
    reports_ = KeptReports();
    executor_ = std::make_unique<RunExecutor>(RunExecutor::Tuning{kLease, Ms(700), Ms(1200)}, port_,
                                              reports_);
    executor_->OnWorkerReport(SampleReport(1), kStart);
    executor_->OnOwnerConfirmed(kOwner, kStart);
  }

 private:
  RunId Order(std::uint32_t index, core::TimePoint now = kStart) {
    executor_->OnOrder(kOwner, SampleOrder("j", index), now);
    return SampleOrder("j", index).id;
  }
  // A run that the backend server has listed.
  RunId StartListed(std::uint32_t index) {
    RunId id = Order(index);
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(1));
    Answer(kPresent, {{id, 1}}, kStart + Ms(2));
    return id;
  }
  void Answer(std::int64_t incarnation, const std::vector<RunningRun>& running,
              core::TimePoint now) {
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number,
                              LeaseRenewal{incarnation, running, {}}, CallFailure::kNoAnswer, now);
  }
  void Refuse(core::TimePoint now) {
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number, std::nullopt,
                              CallFailure::kRefused, now);
  }
  // The entry goes on confirming, and the backend server refuses all calls, up to `until`.
  void RefuseAll(core::TimePoint from, core::TimePoint until) {
    std::uint64_t answered = 0;
    for (core::TimePoint now = from; now <= until; now += kTick) {
      executor_->OnOwnerConfirmed(kOwner, now);
      if (port_.renewals.back().renewal_number > answered) {
        answered = port_.renewals.back().renewal_number;
        Refuse(now);
      }
      executor_->Advance(now);
    }
  }
  bool WasLost(const RunId& id) const { return reports_.Has(id, RunReport::Kind::kLost); }
  bool IsReady(core::TimePoint now) const { return executor_->State(now).ready; }

  // Guards against a second run of a task beside the first, which goes on under its lease at a
  // backend server that is only cut off (review/11).
  void RunsAreKeptUntilTheirLeaseEnds() {
    const RunId id = StartListed(0);
    RefuseAll(kStart + Ms(10), kStart + kLease);
    CPPUNIT_ASSERT(!WasLost(id));
    RefuseAll(kStart + kLease, kStart + MaxLease(kLease) + Ms(40));
    CPPUNIT_ASSERT(WasLost(id));
  }

  // Guards against waiting for as long as connections are refused: what was not sent gives no
  // lease.
  void RefusedCallsDoNotProlongTheLease() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(1));
    // Listed and renewed last at 300 ms.
    executor_->OnOwnerConfirmed(kOwner, kStart + Ms(300));
    Answer(kPresent, {{id, 1}}, kStart + Ms(300));
    const core::TimePoint lease_end = *port_.renewals.back().lease_end;
    CPPUNIT_ASSERT(lease_end == kStart + Ms(300) + kLease);
    Answer(kPresent, {{id, 2}}, kStart + Ms(301));
    const core::Duration clock_error = MaxLease(kLease) - kLease;
    RefuseAll(kStart + Ms(302), lease_end);
    CPPUNIT_ASSERT(!WasLost(id));
    RefuseAll(lease_end, lease_end + clock_error + 2 * kTick);
    CPPUNIT_ASSERT(WasLost(id));
  }

  // Guards against taking runs as over that a renewal may have prolonged: one without an answer
  // may have arrived.
  void CallsWithoutAnswerProlongTheLease() {
    const RunId id = StartListed(0);
    executor_->OnOwnerConfirmed(kOwner, kStart + Ms(100));
    executor_->Advance(kStart + Ms(100));
    const auto sent = port_.renewals.back();
    executor_->OnLeaseRenewal(sent.renewal_number, std::nullopt, CallFailure::kNoAnswer,
                              kStart + Ms(200));
    executor_->Advance(kStart + Ms(210));
    RefuseAll(kStart + Ms(212), *sent.lease_end);
    CPPUNIT_ASSERT(!WasLost(id));
  }

  // Guards against giving up runs at each of several short cuts.
  void RunsGoOnAfterAShortRefusal() {
    const RunId id = StartListed(0);
    for (int ms = 100; ms <= 3000; ms += 100) {
      const core::TimePoint now = kStart + Ms(ms);
      RefuseAll(now, now + 2 * kTick);
      executor_->Advance(now + Ms(60));
      Answer(kPresent, {{id, ms / 100}}, now + Ms(61));
      CPPUNIT_ASSERT(IsReady(now + Ms(61)));
    }
    CPPUNIT_ASSERT(!WasLost(id));
    CPPUNIT_ASSERT(port_.stops.empty());
  }

  // Guards against orders that wait for a backend server that cannot be called.
  void WhatWasNeverSentIsHandedBackAtOnce() {
    const RunId listed = StartListed(0);
    const RunId refused = Order(1, kStart + Ms(3));
    const RunId queued = Order(2, kStart + Ms(3));
    executor_->OnStartResult(refused, StartResult::kRefused, kStart + Ms(4));
    CPPUNIT_ASSERT(reports_.Has(refused, RunReport::Kind::kNotRun));
    CPPUNIT_ASSERT(reports_.Has(queued, RunReport::Kind::kNotRun));
    CPPUNIT_ASSERT(!WasLost(listed));
    CPPUNIT_ASSERT(!IsReady(kStart + Ms(4)));
    const RunId late = Order(3, kStart + Ms(5));
    CPPUNIT_ASSERT(reports_.Has(late, RunReport::Kind::kNotRun));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.starts.size());
  }

  // The first copy of a start gets no answer and the second is refused. Guards against "not run"
  // for a run that the first copy may have started.
  void StartThatMayHaveArrivedIsNotHandedBack() {
    const RunId id = Order(0);
    executor_->OnStartResult(id, StartResult::kUnknown, kStart + Ms(20));
    executor_->OnStartResult(id, StartResult::kRefused, kStart + Ms(21));
    RefuseAll(kStart + Ms(22), kStart + kLease);
    CPPUNIT_ASSERT(!reports_.Has(id, RunReport::Kind::kNotRun));
    CPPUNIT_ASSERT(!WasLost(id));
    CPPUNIT_ASSERT(std::find(port_.stops.begin(), port_.stops.end(), id) != port_.stops.end());
  }

  // A task was ordered again while its first run is stopped. Guards against handing the order
  // back, to be placed elsewhere, before that run has ended.
  void DeferredOrderWaitsForTheEarlierRun() {
    const RunId id = StartListed(0);
    RunOrder again = SampleOrder("j", 0);
    again.id.number = 2;
    executor_->OnOwnerConfirmed(kOtherOwner, kStart);
    executor_->OnOrder(kOtherOwner, again, kStart + Ms(5));
    const RunId other = Order(1, kStart + Ms(6));
    executor_->OnStartResult(other, StartResult::kRefused, kStart + Ms(7));
    RefuseAll(kStart + Ms(10), kStart + Ms(600));
    CPPUNIT_ASSERT(!reports_.Has(again.id, RunReport::Kind::kNotRun));
    executor_->OnOwnerConfirmed(kOtherOwner, kStart + Ms(600));
    RefuseAll(kStart + Ms(620), kStart + MaxLease(kLease) + Ms(40));
    CPPUNIT_ASSERT(WasLost(id));
    CPPUNIT_ASSERT(reports_.Has(again.id, RunReport::Kind::kNotRun));
  }

  // Guards against a backend server that stays unused after a short cut.
  void OrdersAreTakenAgainAfterTheFirstAnswer() {
    Order(0);
    Refuse(kStart + Ms(10));
    CPPUNIT_ASSERT(!IsReady(kStart + Ms(10)));
    executor_->Advance(kStart + Ms(60));
    Answer(kPresent, {}, kStart + Ms(61));
    CPPUNIT_ASSERT(IsReady(kStart + Ms(61)));
    Order(1, kStart + Ms(62));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.starts.size());
  }

  // Only the way to the backend server is cut. Guards against orders each time that one of its
  // reports arrives; the report is a reason to call it at once.
  void ReportAloneBringsNoOrders() {
    const RunId id = StartListed(0);
    Refuse(kStart + Ms(10));
    const std::size_t before = port_.renewals.size();
    executor_->OnWorkerReport(SampleReport(2), kStart + Ms(15));
    CPPUNIT_ASSERT(!IsReady(kStart + Ms(15)));
    CPPUNIT_ASSERT_EQUAL(before + 1, port_.renewals.size());
    CPPUNIT_ASSERT(!WasLost(id));
    Answer(kPresent, {{id, 2}}, kStart + Ms(16));
    CPPUNIT_ASSERT(IsReady(kStart + Ms(16)));
  }

  // Guards against waiting for the lease of a backend server that has started again.
  void AnotherIncarnationFreesTheRunsAtOnce() {
    const RunId id = StartListed(0);
    Refuse(kStart + Ms(10));
    executor_->Advance(kStart + Ms(400));
    CPPUNIT_ASSERT(!WasLost(id));
    Answer(kNext, {}, kStart + Ms(401));
    CPPUNIT_ASSERT(WasLost(id));
    // The crash was at the first refusal, which is what tells its cause from bystanders.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.CountCrashes(WorkerCrash::Kind::kCrashed));
    CPPUNIT_ASSERT(reports_.crashes.back().runs.front().ran_for == Ms(10));
  }

  // Guards against ending the runs by the report of another writer.
  void ReportOfAnotherIncarnationNeedsProof() {
    const RunId id = StartListed(0);
    Refuse(kStart + Ms(10));
    WorkerReport foreign = SampleReport(1);
    foreign.id = "i-2";
    foreign.incarnation = kNext;
    CPPUNIT_ASSERT(!executor_->OnWorkerReport(foreign, kStart + Ms(20)));
    executor_->Advance(kStart + Ms(60));
    Refuse(kStart + Ms(61));
    CPPUNIT_ASSERT(!WasLost(id));
    executor_->Advance(kStart + Ms(120));
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number, std::nullopt,
                              CallFailure::kWorkerGone, kStart + Ms(121));
    CPPUNIT_ASSERT(WasLost(id));
    CPPUNIT_ASSERT(IsReady(kStart + Ms(121)));
  }

  // Guards against ignoring a backend server for a report interval because its clock was set back
  // before it started again.
  void ReturnIsNoticedAfterTheClockWasSetBack() {
    StartListed(0);
    Refuse(kStart + Ms(10));
    WorkerReport next = SampleReport(1);
    next.incarnation = kPresent - 100;
    executor_->OnWorkerReport(next, kStart + Ms(400));
    Answer(next.incarnation, {}, kStart + Ms(401));
    CPPUNIT_ASSERT(IsReady(kStart + Ms(401)));
  }

  // An agent restarts while its backend server is cut off. Guards against telling entries that
  // there are no runs, which places them again while they go on.
  void RestartedAgentDoesNotTakeEarlierRunsAsOver() {
    FakeWorkerPort port;
    RunExecutor restarted({kLease, Ms(700), Ms(1200)}, port, reports_);
    restarted.Begin(kStart);
    for (core::TimePoint now = kStart; now <= kStart + kLease; now += kTick) {
      restarted.OnLeaseRenewal(port.renewals.back().renewal_number, std::nullopt,
                               CallFailure::kRefused, now);
      restarted.Advance(now);
      CPPUNIT_ASSERT(!restarted.runs_known());
    }
    restarted.Advance(kStart + MaxLease(kLease) + Ms(1));
    CPPUNIT_ASSERT(restarted.runs_known());
  }

  // The same cut ends within the lease. Guards against stopping runs that their entry claims.
  void RunsOfAnEarlierProcessAreAdoptedAfterARefusal() {
    FakeWorkerPort port;
    RunExecutor restarted({kLease, Ms(700), Ms(1200)}, port, reports_);
    restarted.Begin(kStart);
    restarted.OnLeaseRenewal(port.renewals.back().renewal_number, std::nullopt,
                             CallFailure::kRefused, kStart + Ms(1));
    restarted.OnWorkerReport(SampleReport(1), kStart + Ms(2));
    CPPUNIT_ASSERT(!restarted.State(kStart + Ms(2)).ready);
    restarted.Advance(kStart + Ms(60));
    const RunId id = SampleOrder("j", 0).id;
    restarted.OnLeaseRenewal(port.renewals.back().renewal_number,
                             LeaseRenewal{kPresent, {{id, 5}}, {}}, CallFailure::kNoAnswer,
                             kStart + Ms(61));
    CPPUNIT_ASSERT(restarted.runs_known());
    CPPUNIT_ASSERT(restarted.State(kStart + Ms(61)).ready);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restarted.RunsFor(kOwner).size());
    CPPUNIT_ASSERT(port.stops.empty());
  }

  // Guards against holding tasks responsible for a cut of the network.
  void ShortRefusalIsNoCrash() {
    const RunId id = StartListed(0);
    Refuse(kStart + Ms(10));
    executor_->Advance(kStart + Ms(60));
    Answer(kPresent, {{id, 2}}, kStart + Ms(61));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reports_.CountCrashes(WorkerCrash::Kind::kCrashed));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.CountCrashes(WorkerCrash::Kind::kSuspected));
    CPPUNIT_ASSERT(reports_.crashes.back().kind == WorkerCrash::Kind::kRetracted);
  }

  // The backend servers stay away. Guards against a task that crashes one after the other because
  // no next incarnation shows that they have ended.
  void CrashIsPresumedWhenTheLeaseHasEnded() {
    const RunId id = StartListed(0);
    RefuseAll(kStart + Ms(10), kStart + kLease);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reports_.CountCrashes(WorkerCrash::Kind::kCrashed));
    RefuseAll(kStart + kLease, kStart + MaxLease(kLease) + Ms(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.CountCrashes(WorkerCrash::Kind::kCrashed));
    const RunAtCrash& run = reports_.crashes.back().runs.front();
    CPPUNIT_ASSERT(run.id == id && run.ran_for == Ms(10) && run.confirmed);
    // Its return is no second crash.
    executor_->Advance(kStart + Ms(3000));
    Answer(kNext, {}, kStart + Ms(3001));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.CountCrashes(WorkerCrash::Kind::kCrashed));
  }

  // Guards against holding tasks responsible for a cut that has outlasted their lease.
  void PresumedCrashIsRetractedByAnAnswer() {
    StartListed(0);
    RefuseAll(kStart + Ms(10), kStart + MaxLease(kLease) + Ms(40));
    executor_->Advance(kStart + Ms(3000));
    Answer(kPresent, {}, kStart + Ms(3001));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.CountCrashes(WorkerCrash::Kind::kRetracted));
    CPPUNIT_ASSERT(reports_.crashes.back().kind == WorkerCrash::Kind::kRetracted);
    CPPUNIT_ASSERT_EQUAL(kPresent, reports_.crashes.back().incarnation);
    // An entry that connects later learns of the retraction as well.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, executor_->recent_crashes().size());
    CPPUNIT_ASSERT(executor_->recent_crashes().front().kind == WorkerCrash::Kind::kRetracted);
  }

  FakeWorkerPort port_;
  KeptReports reports_;
  std::unique_ptr<RunExecutor> executor_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusedConnectionTest);

}  // namespace
}  // namespace coltsfoottide::direct
