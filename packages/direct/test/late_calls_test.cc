#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

#include "coltsfoottide/direct/report_sink.h"
#include "coltsfoottide/direct/run_executor.h"
#include "coltsfoottide/direct/worker_port.h"
#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

constexpr char kOwner[] = "entry-1";
constexpr char kOtherOwner[] = "entry-2";
constexpr core::Duration kLease = std::chrono::seconds(1);
constexpr core::Duration kOwnerLease = std::chrono::milliseconds(700);
constexpr core::Duration kRunLimit = std::chrono::milliseconds(1200);
// A caller whose entry has died submits its job again after this time.
constexpr core::Duration kCallerReturn = std::chrono::milliseconds(1300);
constexpr std::int64_t kFirstLife = 1000;
constexpr std::int64_t kSecondLife = 2000;

// Records what the executor asks of its backend server and tells its entries.
class RecordingWorker : public WorkerPort, public ReportSink {
 public:
  void UseIncarnation(const WorkerReport& /*report*/) override {}
  void StartRun(const RunOrder& order, core::TimePoint lease_end,
                core::Duration /*timeout*/) override {
    starts.push_back(order.id);
    last_lease_end = std::max(last_lease_end, lease_end);
  }
  void StopRun(const RunId& id) override { stops.push_back(id); }
  void RenewLease(std::uint64_t renewal_number, std::uint64_t /*ended_cursor*/,
                  std::optional<core::TimePoint> lease_end, core::Duration /*wait*/) override {
    renewals.push_back(renewal_number);
    last_lease_end = std::max(last_lease_end, lease_end.value_or(last_lease_end));
  }
  void Report(const std::string& /*owner*/, const RunReport& report) override {
    reports.push_back(report);
  }
  void ReportCrash(const WorkerCrash& /*crash*/) override {}
  void OnReportRefuted(const WorkerReport& /*report*/) override {}

  bool HasReported(const RunId& id, RunReport::Kind kind) const {
    return std::any_of(reports.begin(), reports.end(),
                       [&](const RunReport& it) { return it.id == id && it.kind == kind; });
  }

  std::vector<RunId> starts;
  std::vector<RunId> stops;
  std::vector<std::uint64_t> renewals;
  std::vector<RunReport> reports;
  core::TimePoint last_lease_end;
};

// What calls to the backend server may still do after the decisions behind them have run
// out, because they, their answers or the stops that follow are late.
class LateCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateCallsTest);
  CPPUNIT_TEST(OtherEntriesDoNotKeepARunWhoseStopIsUnanswered);
  CPPUNIT_TEST(RunDoesNotStartUnderALongerLeaseThanItsEntryAllows);
  CPPUNIT_TEST(RunsThatAreNotKnownYetAreNotRenewed);
  CPPUNIT_TEST(NextIncarnationRefusesLateStartsOfStoppedRuns);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    worker_ = RecordingWorker();
    executor_ = std::make_unique<RunExecutor>(RunExecutor::Tuning{kLease, kOwnerLease, kRunLimit},
                                              worker_, worker_);
    executor_->OnWorkerReport(SampleReport(1), kStart);
    executor_->OnOwnerConfirmed(kOwner, kStart);
    executor_->OnOwnerConfirmed(kOtherOwner, kStart);
  }

 private:
  RunId Order(const std::string& owner, const std::string& job, core::TimePoint now) {
    executor_->OnOrder(owner, SampleOrder(job, 0), now);
    return SampleOrder(job, 0).id;
  }

  // The backend server is back as kSecondLife, by its own report and answer.
  void Restart(core::TimePoint now) {
    WorkerReport report = SampleReport(1);
    report.incarnation = kSecondLife;
    executor_->OnWorkerReport(report, now);
    executor_->OnLeaseRenewal(worker_.renewals.back(), LeaseRenewal{kSecondLife, {}, {}},
                              CallFailure::kNoAnswer, now);
  }

  // An entry falls silent and the calls that stop its run get no answer, while another
  // entry's run needs the lease. Guards against a run that goes on beyond the time after
  // which its entry places it elsewhere.
  void OtherEntriesDoNotKeepARunWhoseStopIsUnanswered() {
    const RunId silent = Order(kOwner, "silent", kStart);
    const RunId other = Order(kOtherOwner, "other", kStart);
    executor_->OnStartResult(silent, StartResult::kStarted, kStart);
    executor_->OnStartResult(other, StartResult::kStarted, kStart);
    constexpr core::Duration kSimulated = std::chrono::seconds(3);
    constexpr core::Duration kTick = std::chrono::milliseconds(20);
    for (core::TimePoint now = kStart; now < kStart + kSimulated; now += kTick) {
      executor_->OnOwnerConfirmed(kOtherOwner, now);
      const LeaseRenewal answer{kFirstLife, {{silent, 10}, {other, 10}}, {}};
      executor_->OnLeaseRenewal(worker_.renewals.back(), answer, CallFailure::kNoAnswer, now);
      executor_->Advance(now);
      executor_->OnStopResult(silent, false, now);
    }
    CPPUNIT_ASSERT(!worker_.stops.empty());
    CPPUNIT_ASSERT(worker_.last_lease_end <= kStart + kOwnerLease + kLease);
  }

  // The backend server's lease holds for all its runs and never becomes shorter. Guards
  // against a run that outlasts its dead entry under the lease of another entry's run: its
  // caller is back by then.
  void RunDoesNotStartUnderALongerLeaseThanItsEntryAllows() {
    constexpr core::Duration kAge = std::chrono::milliseconds(600);
    executor_->OnOwnerConfirmed(kOtherOwner, kStart + kAge);
    Order(kOtherOwner, "other", kStart + kAge);
    CPPUNIT_ASSERT(worker_.last_lease_end == kStart + kAge + kLease);
    const RunId id = Order(kOwner, "silent", kStart + kAge);
    const bool started =
        std::find(worker_.starts.begin(), worker_.starts.end(), id) != worker_.starts.end();
    CPPUNIT_ASSERT(!started || worker_.last_lease_end <= kStart + kCallerReturn);
  }

  // An agent restarts, and the first answers of its backend server are lost, so that it does
  // not know the runs of its earlier process. Guards against renewing their lease all the
  // same, though no entry has claimed them.
  void RunsThatAreNotKnownYetAreNotRenewed() {
    RecordingWorker worker;
    RunExecutor restarted({kLease, kOwnerLease, kRunLimit}, worker, worker);
    restarted.Begin(kStart);
    restarted.OnWorkerReport(SampleReport(1), kStart + Ms(10));
    restarted.OnOwnerConfirmed(kOwner, kStart + Ms(20));
    restarted.OnOrder(kOwner, SampleOrder("new", 0), kStart + Ms(30));
    for (int ms = 100; ms <= 600; ms += 20) restarted.Advance(kStart + Ms(ms));
    CPPUNIT_ASSERT(worker.renewals.size() > 1);
    CPPUNIT_ASSERT(worker.last_lease_end <= kStart);
  }

  // A start without an answer is carried out seconds later, after newer calls. Its run has
  // been stopped meanwhile, so that the incarnation that was told so refuses it. Guards
  // against a second run of the task, at an incarnation that knows nothing of the stop.
  void NextIncarnationRefusesLateStartsOfStoppedRuns() {
    const RunId id = Order(kOwner, "late", kStart);
    executor_->OnStartResult(id, StartResult::kUnknown, kStart + Ms(20));
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(21));
    executor_->OnStop(id, kStart + Ms(100));
    executor_->OnStopResult(id, true, kStart + Ms(101));
    executor_->Advance(kStart + Ms(160));
    executor_->OnLeaseRenewal(worker_.renewals.back(), LeaseRenewal{kFirstLife, {}, {}},
                              CallFailure::kNoAnswer, kStart + Ms(161));
    CPPUNIT_ASSERT(worker_.HasReported(id, RunReport::Kind::kLost));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, worker_.stops.size());
    Restart(kStart + Ms(1000));
    executor_->Advance(kStart + Ms(1020));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, worker_.stops.size());
    CPPUNIT_ASSERT(worker_.stops[1] == id);
  }

  RecordingWorker worker_;
  std::unique_ptr<RunExecutor> executor_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateCallsTest);

}  // namespace
}  // namespace coltsfoottide::direct
