#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "collected_reports.h"
#include "coltsfoottide/direct/job_dispatcher.h"
#include "coltsfoottide/direct/run_executor.h"
#include "direct_samples.h"
#include "fake_worker_port.h"
#include "recording_entry_sink.h"

namespace coltsfoottide::direct {
namespace {

constexpr core::Duration kBound = std::chrono::milliseconds(1800);
constexpr char kOwner[] = "entry-1";
constexpr char kOtherOwner[] = "entry-2";

// A job is submitted again after it has been refused or given up. The numbers of its runs
// begin at 1 again.
class ResubmittedJobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResubmittedJobTest);
  CPPUNIT_TEST(EndOfAnEarlierSubmissionEndsNoRun);
  CPPUNIT_TEST(EndOfAnEarlierSubmissionListsNoRun);
  CPPUNIT_TEST(LateReportOfAnEarlierSubmissionEndsNoRun);
  CPPUNIT_TEST(RunOfAnEarlierSubmissionIsStopped);
  CPPUNIT_TEST(SubmissionsThroughTwoEntriesDiffer);
  CPPUNIT_TEST(ResubmissionAfterALostClaimIsClaimedAnew);
  CPPUNIT_TEST(QueuedOrderOfAnEarlierSubmissionIsHandedBack);
  CPPUNIT_TEST(OnlyTheLatestDeferredOrderIsKept);
  CPPUNIT_TEST(StopOfAnEarlierSubmissionStopsNothing);
  CPPUNIT_TEST(AdoptedRunHasTheSubmissionOfItsClaim);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    sink_ = RecordingEntrySink();
    dispatcher_ =
        std::make_unique<JobDispatcher>(JobDispatcher::Tuning{kBound, 1, 7}, "a", 1.5, sink_);
    Connect(*dispatcher_, "agent-1");
    port_ = FakeWorkerPort();
    reports_ = CollectedReports();
    executor_ = std::make_unique<RunExecutor>(RunExecutor::Tuning{Ms(1000), Ms(700), Ms(1200)},
                                              port_, reports_);
    executor_->OnWorkerReport(SampleReport(1), kStart);
    executor_->OnOwnerConfirmed(kOwner, kStart);
    executor_->OnOwnerConfirmed(kOtherOwner, kStart);
  }

 private:
  static void Connect(JobDispatcher& dispatcher, const std::string& agent) {
    dispatcher.OnAgentHello({agent, 1, true, {}}, kStart);
    dispatcher.OnWorkerDescription(agent, SampleWorker());
    dispatcher.OnWorkerState(agent, IdleWorker(), 0, kStart);
  }

  // Guards against an entry that starts a job again which another entry coordinates, because
  // it was submitted while its runs were being stopped.
  void ResubmissionAfterALostClaimIsClaimedAnew() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    const RunId first = sink_.orders.at(0).id;
    dispatcher_->OnReport("agent-1", {first, RunReport::Kind::kStarted, {}}, kStart + Ms(1));
    dispatcher_->Yield("j", "another entry has the job", kStart + Ms(2));
    CPPUNIT_ASSERT(sink_.answers.at(0).second.kind == JobOutcome::Kind::kMayHaveRun);
    dispatcher_->Submit(SampleJob("j", 1), kStart + Ms(3));
    dispatcher_->OnReport("agent-1", {first, RunReport::Kind::kLost, {}}, kStart + Ms(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    CPPUNIT_ASSERT(sink_.removed == std::vector<std::string>{"j"});
    CPPUNIT_ASSERT(sink_.to_claim == std::vector<std::string>{"j"});
  }

  // The job is placed, handed back, refused, and submitted again, which places it at the same
  // agent. Returns the runs of both submissions.
  std::pair<RunId, RunId> SubmitTwice() {
    JobRequest job = SampleJob("j", 1);
    dispatcher_->Submit(job, kStart);
    const RunId first = sink_.orders.at(0).id;
    dispatcher_->OnReport("agent-1", {first, RunReport::Kind::kNotRun, {}},
                          job.useful_until + Ms(1));
    CPPUNIT_ASSERT(sink_.answers.at(0).second.kind == JobOutcome::Kind::kNotRun);
    job.useful_until += Ms(2000);
    job.deadline += Ms(2000);
    dispatcher_->Submit(job, kStart + Ms(1500));
    const RunId second = sink_.orders.at(1).id;
    CPPUNIT_ASSERT(first.AsListed() == second.AsListed());
    return {first, second};
  }

  void Reconnect(std::vector<RunReport> runs) {
    dispatcher_->OnAgentLost("agent-1", kStart + Ms(1550));
    dispatcher_->OnAgentHello(SampleHello("agent-1", 1, true, std::move(runs)), kStart + Ms(1600));
  }

  static RunOrder OrderOf(std::uint32_t submission) {
    RunOrder order = SampleOrder("j", 0);
    order.id.submission = submission;
    return order;
  }

  // A connection between agent and entry is reset, and the agent repeats the end of the first
  // submission's run. Guards against a second run of the task while one goes on (review/2).
  void EndOfAnEarlierSubmissionEndsNoRun() {
    const auto [first, second] = SubmitTwice();
    Reconnect({{second, RunReport::Kind::kStarted, {}}, {first, RunReport::Kind::kNotRun, {}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.claims.size());
    CPPUNIT_ASSERT(sink_.claims[0].id == second);
    dispatcher_->OnReport("agent-1", {second, RunReport::Kind::kDone, {}}, kStart + Ms(1610));
    CPPUNIT_ASSERT(sink_.answers.back().second.kind == JobOutcome::Kind::kCompleted);
  }

  // The order of the second submission was lost with the connection. Guards against waiting
  // for its run because the hello lists a run with its number.
  void EndOfAnEarlierSubmissionListsNoRun() {
    const auto [first, second] = SubmitTwice();
    Reconnect({{first, RunReport::Kind::kNotRun, {}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sink_.orders.size());
    CPPUNIT_ASSERT_EQUAL(second.number + 1, sink_.orders[2].id.number);
  }

  // Guards against the same by a report that is read late.
  void LateReportOfAnEarlierSubmissionEndsNoRun() {
    const auto [first, second] = SubmitTwice();
    dispatcher_->OnReport("agent-1", {first, RunReport::Kind::kLost, {}}, kStart + Ms(1600));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
    CPPUNIT_ASSERT(second.submission != first.submission);
  }

  // Guards against a run that goes on beside the one of the second submission, or after its
  // job has been answered.
  void RunOfAnEarlierSubmissionIsStopped() {
    const auto [first, second] = SubmitTwice();
    Reconnect({{second, RunReport::Kind::kStarted, {}}, {first, RunReport::Kind::kStarted, {}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.stops.size());
    CPPUNIT_ASSERT(sink_.stops[0].id == first);
    dispatcher_->OnReport("agent-1", {second, RunReport::Kind::kDone, {}}, kStart + Ms(1610));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatcher_->size());
    Reconnect({{first, RunReport::Kind::kQueued, {}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.stops.size());
  }

  // Guards against entries that number their submissions alike.
  void SubmissionsThroughTwoEntriesDiffer() {
    RecordingEntrySink other_sink;
    JobDispatcher other(JobDispatcher::Tuning{kBound, 2, 0}, "a", 1.5, other_sink);
    Connect(other, "agent-1");
    other.Submit(SampleJob("j", 1), kStart);
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    CPPUNIT_ASSERT(other_sink.orders.at(0).id != sink_.orders.at(0).id);
    CPPUNIT_ASSERT(other_sink.orders.at(0).id.submission != 0);
  }

  // A run waits in an agent's queue when the caller comes back through another entry. Guards
  // against two runs of the task beside each other, and against losing the second order.
  void QueuedOrderOfAnEarlierSubmissionIsHandedBack() {
    executor_->OnOrder(kOwner, SampleOrder("filler", 0), kStart);
    executor_->OnOrder(kOwner, SampleOrder("filler", 1), kStart);
    executor_->OnOrder(kOwner, OrderOf(1), kStart);
    executor_->OnOrder(kOtherOwner, OrderOf(2), kStart + Ms(1));
    CPPUNIT_ASSERT(reports_.Has(kOwner, OrderOf(1).id, RunReport::Kind::kNotRun));
    CPPUNIT_ASSERT(reports_.Has(kOtherOwner, OrderOf(2).id, RunReport::Kind::kQueued));
    for (std::uint32_t index = 0; index < 2; ++index) {
      const RunId filler = SampleOrder("filler", index).id;
      executor_->OnStartResult(filler, StartResult::kStarted, kStart + Ms(2));
      executor_->OnLeaseRenewal(
          port_.renewals.back().renewal_number,
          LeaseRenewal{1000, {}, {{index + 1, filler, EndedRun::Outcome::kDone}}},
          CallFailure::kNoAnswer, kStart + Ms(60));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, port_.starts.size());
    CPPUNIT_ASSERT(port_.starts.back() == OrderOf(2).id);
  }

  // The same while the task's first run is being stopped.
  void OnlyTheLatestDeferredOrderIsKept() {
    executor_->OnOrder(kOwner, OrderOf(1), kStart);
    executor_->OnStartResult(OrderOf(1).id, StartResult::kStarted, kStart + Ms(1));
    executor_->OnOrder(kOwner, OrderOf(2), kStart + Ms(2));
    executor_->OnOrder(kOtherOwner, OrderOf(3), kStart + Ms(3));
    CPPUNIT_ASSERT(reports_.Has(kOwner, OrderOf(2).id, RunReport::Kind::kNotRun));
    executor_->OnLeaseRenewal(
        port_.renewals.back().renewal_number,
        LeaseRenewal{1000, {}, {{1, OrderOf(1).id.AsListed(), EndedRun::Outcome::kOther}}},
        CallFailure::kNoAnswer, kStart + Ms(20));
    CPPUNIT_ASSERT(port_.starts.back() == OrderOf(3).id);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.starts.size());
  }

  // An entry places a task at an agent again and then stops the task's earlier run there.
  // Guards against stopping the new run in its place.
  void StopOfAnEarlierSubmissionStopsNothing() {
    executor_->OnOrder(kOwner, OrderOf(2), kStart);
    executor_->OnStop(OrderOf(1).id, kStart + Ms(1));
    CPPUNIT_ASSERT(port_.stops.empty());
    executor_->OnStop(OrderOf(2).id, kStart + Ms(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.stops.size());
  }

  // Guards against reports of an adopted run that its entry does not recognize, and against
  // losing the run when the backend server lists it again.
  void AdoptedRunHasTheSubmissionOfItsClaim() {
    FakeWorkerPort port;
    RunExecutor restarted({Ms(1000), Ms(700), Ms(1200)}, port, reports_);
    restarted.Begin(kStart);
    const RunId listed = OrderOf(5).id.AsListed();
    restarted.OnLeaseRenewal(port.renewals.back().renewal_number,
                             LeaseRenewal{1000, {{listed, 5}}, {}}, CallFailure::kNoAnswer,
                             kStart + Ms(1));
    restarted.OnOwnerConfirmed(kOwner, kStart + Ms(2));
    restarted.OnClaim(kOwner, OrderOf(5).id, Resources{6000, 64, 0});
    restarted.OnLeaseRenewal(port.renewals.back().renewal_number,
                             LeaseRenewal{1000, {{listed, 50}}, {}}, CallFailure::kNoAnswer,
                             kStart + Ms(20));
    CPPUNIT_ASSERT(port.stops.empty());
    restarted.OnLeaseRenewal(port.renewals.back().renewal_number,
                             LeaseRenewal{1000, {}, {{1, listed, EndedRun::Outcome::kDone}}},
                             CallFailure::kNoAnswer, kStart + Ms(40));
    CPPUNIT_ASSERT(reports_.Has(kOwner, OrderOf(5).id, RunReport::Kind::kDone));
  }

  RecordingEntrySink sink_;
  std::unique_ptr<JobDispatcher> dispatcher_;
  FakeWorkerPort port_;
  CollectedReports reports_;
  std::unique_ptr<RunExecutor> executor_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResubmittedJobTest);

}  // namespace
}  // namespace coltsfoottide::direct
