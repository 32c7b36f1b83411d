#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/report_sink.h"
#include "coltsfoottide/direct/run_executor.h"
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
  void ReportCrash(const WorkerCrash& /*crash*/) override {}
  void OnReportRefuted(const WorkerReport& /*report*/) override {}
  bool Has(const RunId& id, RunReport::Kind kind) const {
    return std::any_of(reports.begin(), reports.end(), [&](const auto& it) {
      return it.second.id == id && it.second.kind == kind;
    });
  }
  std::vector<std::pair<std::string, RunReport>> reports;
};

// Leases and starts when several entries use one backend server.
class LeaseBoundsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseBoundsTest);
  CPPUNIT_TEST(QueuedRunHasNoLeaseBeyondItsOwnersLimit);
  CPPUNIT_TEST(LateOrderHasNoLeaseBeyondItsOwnersLimit);
  CPPUNIT_TEST(NothingIsRenewedBeforeEarlierRunsAreKnown);
  CPPUNIT_TEST(OrderOfAnEntryThatHasConfirmedNothingIsNotStarted);
  CPPUNIT_TEST(FirstAnswerCountsThoughAReportWasFaster);
  CPPUNIT_TEST(DeferredOrderOfASilentOwnerIsReported);
  CPPUNIT_TEST(StoppedStartWithoutAnswerIsStoppedAfterACrash);
  CPPUNIT_TEST(StopOfAnEarlierIncarnationDoesNotCoverTheNext);
  CPPUNIT_TEST(EndedRunWithAnUnansweredStartIsStoppedAfterACrash);
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
  static RunOrder LongOrder(const std::string& job, std::uint32_t index) {
    RunOrder order = SampleOrder(job, index);
    order.estimate = Ms(2000);
    order.objective = kStart + Ms(6000);
    order.useful_until = kStart + Ms(18000);
    return order;
  }
  RunId StartOther(std::uint32_t index) {
    const RunOrder order = LongOrder("other", index);
    executor_->OnOrder(kOtherOwner, order, kStart);
    executor_->OnStartResult(order.id, StartResult::kStarted, kStart + Ms(1));
    return order.id;
  }
  void AnswerRenewal(const std::vector<RunningRun>& running, const std::vector<EndedRun>& ended,
                     core::TimePoint now) {
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number,
                              LeaseRenewal{1000, running, ended}, CallFailure::kNoAnswer, now);
  }

  // An entry dies while its run waits for resources, and the agent right after the run has
  // started. Guards against a run that goes on, by the lease of another entry's run, when the
  // callers of the dead entry are back. A backend server never shortens a lease.
  void QueuedRunHasNoLeaseBeyondItsOwnersLimit() {
    const RunId first = StartOther(0);
    const RunId second = StartOther(1);
    const RunOrder queued = LongOrder("j", 0);
    executor_->OnOrder(kOwner, queued, kStart + Ms(5));
    for (int ms = 50; ms <= 650; ms += 50) {
      executor_->OnOwnerConfirmed(kOtherOwner, kStart + Ms(ms - 20));
      AnswerRenewal({{first, ms / 30}, {second, ms / 30}}, {}, kStart + Ms(ms));
    }
    AnswerRenewal({{first, 30}}, {{1, second, EndedRun::Outcome::kDone}}, kStart + Ms(660));
    const bool started =
        std::find(port_.starts.begin(), port_.starts.end(), queued.id) != port_.starts.end();
    CPPUNIT_ASSERT(!started || port_.latest_lease_end <= kStart + kRunLimit);
  }

  // The same for an order that arrives late.
  void LateOrderHasNoLeaseBeyondItsOwnersLimit() {
    const RunId first = StartOther(0);
    for (int ms = 50; ms <= 600; ms += 50) {
      executor_->OnOwnerConfirmed(kOtherOwner, kStart + Ms(ms - 20));
      AnswerRenewal({{first, ms / 30}}, {}, kStart + Ms(ms));
    }
    const RunOrder late = LongOrder("j", 0);
    executor_->OnOrder(kOwner, late, kStart + Ms(610));
    const bool started =
        std::find(port_.starts.begin(), port_.starts.end(), late.id) != port_.starts.end();
    CPPUNIT_ASSERT(!started || port_.latest_lease_end <= kStart + kRunLimit);
  }

  // An agent restarts, and the first answers of its backend server are lost. Guards against a
  // longer lease, or starts beside them, for runs of an earlier process that it does not know.
  void NothingIsRenewedBeforeEarlierRunsAreKnown() {
    FakeWorkerPort port;
    RunExecutor restarted({kLease, kOwnerLease, kRunLimit}, port, reports_);
    restarted.Begin(kStart);
    restarted.OnWorkerReport(SampleReport(1), kStart + Ms(10));
    restarted.Advance(kStart + Ms(80));
    CPPUNIT_ASSERT(port.renewals.size() > 1);
    CPPUNIT_ASSERT(!port.renewals.back().lease_end);
    restarted.OnOwnerConfirmed(kOwner, kStart + Ms(500));
    restarted.OnOrder(kOwner, LongOrder("j", 0), kStart + Ms(510));
    CPPUNIT_ASSERT(port.starts.empty());
  }

  // Guards against a start for an entry whose lease is not known to be alive.
  void OrderOfAnEntryThatHasConfirmedNothingIsNotStarted() {
    const RunOrder order = LongOrder("j", 0);
    executor_->OnOrder("entry-3", order, kStart);
    executor_->Advance(kStart + Ms(20));
    CPPUNIT_ASSERT(port_.starts.empty());
    CPPUNIT_ASSERT(reports_.Has(order.id, RunReport::Kind::kNotRun));
  }

  // An agent restarts and reads its backend server's report before the answer to its first
  // call. Guards against ignoring the only list of the runs of the earlier process.
  void FirstAnswerCountsThoughAReportWasFaster() {
    FakeWorkerPort port;
    RunExecutor restarted({kLease, kOwnerLease, kRunLimit}, port, reports_);
    restarted.Begin(kStart);
    const std::uint64_t first = port.renewals.back().renewal_number;
    restarted.OnWorkerReport(SampleReport(1), kStart + Ms(1));
    const RunId id{{"j", 0, 0}, 1};
    restarted.OnLeaseRenewal(first, LeaseRenewal{1000, {{id, 5}}, {}}, CallFailure::kNoAnswer,
                             kStart + Ms(2));
    CPPUNIT_ASSERT(restarted.runs_known());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restarted.RunsFor(kOwner).size());
  }

  // Both an entry and the agent stand still for a while and stay connected. Guards against an
  // order that is dropped without a word, for which the entry waits until the job's deadline.
  void DeferredOrderOfASilentOwnerIsReported() {
    const RunId first = StartOther(0);
    RunOrder again = LongOrder("other", 0);
    again.id.number = 2;
    executor_->OnOrder(kOwner, again, kStart + Ms(5));
    CPPUNIT_ASSERT(port_.stops.back() == first);
    executor_->Advance(kStart + kOwnerLease + Ms(1));
    CPPUNIT_ASSERT(reports_.Has(again.id, RunReport::Kind::kNotRun));
  }

  // A run is stopped before its start is answered, and the backend server crashes. Guards
  // against a copy of the start that the next incarnation carries out while the task runs
  // elsewhere.
  void StoppedStartWithoutAnswerIsStoppedAfterACrash() {
    const RunOrder order = LongOrder("j", 0);
    executor_->OnOrder(kOwner, order, kStart);
    executor_->OnStop(order.id, kStart + Ms(2));
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number, std::nullopt,
                              CallFailure::kWorkerGone, kStart + Ms(5));
    CPPUNIT_ASSERT(reports_.Has(order.id, RunReport::Kind::kLost));
    const std::size_t before = port_.stops.size();
    WorkerReport next = SampleReport(1);
    next.incarnation = 2000;
    executor_->OnWorkerReport(next, kStart + Ms(400));
    CPPUNIT_ASSERT(port_.stops.size() > before);
    CPPUNIT_ASSERT(port_.stops.back() == order.id);
  }

  // The backend server answers a stop and crashes, and the agent reads the answer after it has
  // learned of the crash. Guards against the same.
  void StopOfAnEarlierIncarnationDoesNotCoverTheNext() {
    const RunOrder order = LongOrder("j", 0);
    executor_->OnOrder(kOwner, order, kStart);
    executor_->OnStartResult(order.id, StartResult::kUnknown, kStart + Ms(20));
    executor_->OnStop(order.id, kStart + Ms(21));
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number, std::nullopt,
                              CallFailure::kWorkerGone, kStart + Ms(25));
    executor_->OnStopResult(order.id, true, kStart + Ms(26));
    const std::size_t before = port_.stops.size();
    WorkerReport next = SampleReport(1);
    next.incarnation = 2000;
    executor_->OnWorkerReport(next, kStart + Ms(400));
    CPPUNIT_ASSERT(port_.stops.size() > before);
  }

  // The first copy of a start is not answered, the second is; the run is moved, and then the
  // backend server crashes. Guards against the same.
  void EndedRunWithAnUnansweredStartIsStoppedAfterACrash() {
    const RunOrder order = LongOrder("j", 0);
    executor_->OnOrder(kOwner, order, kStart);
    executor_->OnStartResult(order.id, StartResult::kUnknown, kStart + Ms(20));
    executor_->OnStartResult(order.id, StartResult::kStarted, kStart + Ms(21));
    executor_->OnStop(order.id, kStart + Ms(150));
    executor_->OnStopResult(order.id, true, kStart + Ms(151));
    AnswerRenewal({}, {{1, order.id, EndedRun::Outcome::kOther}}, kStart + Ms(200));
    CPPUNIT_ASSERT(reports_.Has(order.id, RunReport::Kind::kLost));
    const std::size_t before = port_.stops.size();
    WorkerReport next = SampleReport(1);
    next.incarnation = 2000;
    executor_->OnWorkerReport(next, kStart + Ms(1200));
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number, LeaseRenewal{2000, {}, {}},
                              CallFailure::kNoAnswer, kStart + Ms(1201));
    CPPUNIT_ASSERT(port_.stops.size() > before);
  }

  FakeWorkerPort port_;
  RecordingReports reports_;
  std::unique_ptr<RunExecutor> executor_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseBoundsTest);

}  // namespace
}  // namespace coltsfoottide::direct
