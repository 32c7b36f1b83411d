#include "coltsfoottide/direct/job_dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "direct_samples.h"
#include "recording_entry_sink.h"

namespace coltsfoottide::direct {
namespace {

constexpr core::Duration kBound = std::chrono::milliseconds(1800);

class JobDispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobDispatcherTest);
  CPPUNIT_TEST(CompletesWhenAllTasksAreDone);
  CPPUNIT_TEST(RunsAgainOnlyAfterAConfirmedEnd);
  CPPUNIT_TEST(RunsOfSilentAgentAreKeptUntilTheBound);
  CPPUNIT_TEST(RestartedAgentKeepsItsRuns);
  CPPUNIT_TEST(RunMissingFromACompleteHelloHasEnded);
  CPPUNIT_TEST(RunOrderedDuringAHelloIsNotTreatedAsEnded);
  CPPUNIT_TEST(FailsAfterTheAllowedAttempts);
  CPPUNIT_TEST(RefusesAJobThatTheBacklogMakesTooLate);
  CPPUNIT_TEST(NotRunIsAnsweredOnlyAfterAllOrdersAreWithdrawn);
  CPPUNIT_TEST(StartedJobIsNeverRefusedAsNotRun);
  CPPUNIT_TEST(AbandonedJobStopsItsRunsAndFreesTheId);
  CPPUNIT_TEST(ResubmissionRunsAfterTheStoppedRun);
  CPPUNIT_TEST(CancelledJobDoesNotRunWhenItsRequestArrivesAgain);
  CPPUNIT_TEST(CancelThatOvertakesItsJobHolds);
  CPPUNIT_TEST(CancelOfAnEndedJobChangesNoAnswer);
  CPPUNIT_TEST(AbandonedSecondSubmissionIsAnswered);
  CPPUNIT_TEST(RefusedCallersReturnAfterTheBacklog);
  CPPUNIT_TEST(JobThatMayHaveRunReservesNoRetry);
  CPPUNIT_TEST(DuplicateOfAnEndedJobGetsItsAnswer);
  CPPUNIT_TEST(WaitingRunMovesToAFreeWorker);
  CPPUNIT_TEST(SlowRunMovesOnlyIfItEndsSooner);
  CPPUNIT_TEST(NoTaskIsPlacedInAnEvacuatedDataCentre);
  CPPUNIT_TEST(LaterStepsWaitForEarlierOnes);
  CPPUNIT_TEST(LastWaitingRunsOfAJobAreExpeditedOnce);
  CPPUNIT_TEST(PlacementsAreReportedWithTheirReasons);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    sink_ = RecordingEntrySink();
    dispatcher_ =
        std::make_unique<JobDispatcher>(JobDispatcher::Tuning{kBound, 1}, "a", 1.5, sink_);
    Connect("agent-1", 1);
  }

 private:
  void Connect(const std::string& agent, std::uint64_t incarnation) {
    dispatcher_->OnAgentHello({agent, incarnation, true, {}}, kStart);
    dispatcher_->OnWorkerDescription(agent, SampleWorker());
    dispatcher_->OnWorkerState(agent, IdleWorker(), 0, kStart);
  }

  void Report(std::size_t order, RunReport::Kind kind, core::TimePoint now = kStart + Ms(1)) {
    const RecordingEntrySink::Sent sent = sink_.orders.at(order);
    dispatcher_->OnReport(sent.agent, {sent.id, kind, {}}, now);
  }

  JobOutcome::Kind LastAnswer() const { return sink_.answers.back().second.kind; }

  // Guards against an answer before the last task, and against none after it.
  void CompletesWhenAllTasksAreDone() {
    dispatcher_->Submit(SampleJob("j", 2), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
    Report(0, RunReport::Kind::kDone);
    CPPUNIT_ASSERT(sink_.answers.empty());
    Report(1, RunReport::Kind::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.answers.size());
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatcher_->size());
  }

  // Guards against two runs of a task at a time.
  void RunsAgainOnlyAfterAConfirmedEnd() {
    Connect("agent-2", 1);
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Report(0, RunReport::Kind::kStarted);
    dispatcher_->Advance(kStart + Ms(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    Report(0, RunReport::Kind::kLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
    CPPUNIT_ASSERT(sink_.orders[1].id.number > sink_.orders[0].id.number);
  }

  // Guards against a second run while a silent agent may still have the first.
  void RunsOfSilentAgentAreKeptUntilTheBound() {
    JobRequest job = SampleJob("j", 1);
    job.useful_until = kStart + Ms(3000);
    job.deadline = kStart + Ms(3000);
    dispatcher_->Submit(job, kStart);
    Report(0, RunReport::Kind::kStarted);
    const std::string first = sink_.orders[0].agent;
    dispatcher_->OnAgentLost(first, kStart);
    Connect("agent-2", 1);
    dispatcher_->Advance(kStart + kBound - Ms(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    dispatcher_->Advance(kStart + kBound);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
    CPPUNIT_ASSERT_EQUAL(std::string("agent-2"), sink_.orders[1].agent);
  }

  // Guards against discarding the runs of a backend server whose agent
  // restarts.
  void RestartedAgentKeepsItsRuns() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Report(0, RunReport::Kind::kStarted);
    dispatcher_->OnAgentLost("agent-1", kStart);
    const RunReport running{sink_.orders[0].id, RunReport::Kind::kStarted, {}};
    dispatcher_->OnAgentHello(SampleHello("agent-1", 2, true, {running}), kStart + Ms(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.claims.size());
    Report(0, RunReport::Kind::kDone);
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kCompleted);
  }

  // Guards against waiting for the bound although a complete hello shows that
  // the run has ended.
  void RunMissingFromACompleteHelloHasEnded() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    dispatcher_->OnAgentLost("agent-1", kStart);
    dispatcher_->OnAgentHello(SampleHello("agent-1", 2, false, {}), kStart + Ms(50));
    dispatcher_->OnWorkerState("agent-1", IdleWorker(), 0, kStart);
    dispatcher_->Advance(kStart + Ms(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    dispatcher_->OnAgentHello(SampleHello("agent-1", 2, true, {}), kStart + Ms(70));
    dispatcher_->Advance(kStart + Ms(80));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
  }

  // An entry was suspended; its agents reconnect and report its runs as ended,
  // and the entry orders new runs at once. Guards against treating these as
  // ended because the hello does not list them, and so running their tasks
  // twice.
  void RunOrderedDuringAHelloIsNotTreatedAsEnded() {
    Connect("agent-2", 1);
    dispatcher_->Submit(SampleJob("j", 2), kStart);
    Report(0, RunReport::Kind::kStarted);
    Report(1, RunReport::Kind::kStarted);
    const std::string agent = sink_.orders[0].agent;
    AgentHello hello = SampleHello(agent, 1, true, {});
    for (const RecordingEntrySink::Sent& it : sink_.orders) {
      if (it.agent == agent) hello.runs.push_back({it.id, RunReport::Kind::kLost, {}});
    }
    const std::size_t ended_runs = hello.runs.size();
    dispatcher_->OnAgentHello(hello, kStart + Ms(50));
    CPPUNIT_ASSERT_EQUAL(2 + ended_runs, sink_.orders.size());
  }

  // Guards against retrying a failing task for ever, and against counting lost
  // runs as failures.
  void FailsAfterTheAllowedAttempts() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Report(0, RunReport::Kind::kLost);
    Report(1, RunReport::Kind::kFailed);
    Report(2, RunReport::Kind::kFailed);
    CPPUNIT_ASSERT(sink_.answers.empty());
    Report(3, RunReport::Kind::kFailed);
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kFailed);
  }

  // The backlog is longer than the time in which an answer is of use. Guards
  // against keeping a job that cannot be served until its caller disconnects.
  void RefusesAJobThatTheBacklogMakesTooLate() {
    WorkerState state = IdleWorker();
    state.free = {};
    state.queued_work = SampleWorker().total.cpu_millicores * 1000;
    dispatcher_->OnWorkerState("agent-1", state, 0, kStart);
    dispatcher_->Submit(SampleJob("j", 8), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.answers.size());
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kNotRun);
    CPPUNIT_ASSERT(sink_.answers.back().second.retry_after > core::Duration::zero());
    CPPUNIT_ASSERT(sink_.orders.empty());
  }

  // Guards against answering "not run" while an order of the job is
  // outstanding.
  void NotRunIsAnsweredOnlyAfterAllOrdersAreWithdrawn() {
    dispatcher_->Submit(SampleJob("j", 2), kStart);
    // One task is returned when it is too late to place it elsewhere.
    Report(0, RunReport::Kind::kNotRun, kStart + Ms(430));
    CPPUNIT_ASSERT(sink_.answers.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.withdrawals.size());
    Report(1, RunReport::Kind::kNotRun, kStart + Ms(432));
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kNotRun);
  }

  // Guards against answering "not run" for a job of which a task has started.
  void StartedJobIsNeverRefusedAsNotRun() {
    dispatcher_->Submit(SampleJob("j", 2), kStart);
    Report(0, RunReport::Kind::kStarted);
    Report(0, RunReport::Kind::kLost, kStart + Ms(430));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.answers.size());
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kMayHaveRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.stops.size());
  }

  // Guards against runs that continue after their caller has disconnected.
  void AbandonedJobStopsItsRunsAndFreesTheId() {
    dispatcher_->Submit(SampleJob("j", 2), kStart);
    Report(0, RunReport::Kind::kStarted);
    dispatcher_->Abandon("j", kStart + Ms(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.stops.size());
    CPPUNIT_ASSERT(!dispatcher_->InProgress("j"));
    Report(0, RunReport::Kind::kLost);
    Report(1, RunReport::Kind::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatcher_->size());
  }

  // Guards against two runs of a task at a time when a caller has disconnected
  // and submits the job again at once.
  void ResubmissionRunsAfterTheStoppedRun() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Report(0, RunReport::Kind::kStarted);
    dispatcher_->Abandon("j", kStart + Ms(5));
    dispatcher_->Submit(SampleJob("j", 1), kStart + Ms(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    Report(0, RunReport::Kind::kLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
    CPPUNIT_ASSERT(sink_.orders[1].id.number > sink_.orders[0].id.number);
  }

  // Guards against starts seconds after the cancel was acknowledged (review/4).
  void CancelledJobDoesNotRunWhenItsRequestArrivesAgain() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Report(0, RunReport::Kind::kStarted);
    dispatcher_->Cancel("j", kStart + Ms(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.stops.size());
    dispatcher_->Submit(SampleJob("j", 1), kStart + Ms(6));
    Report(0, RunReport::Kind::kLost);
    dispatcher_->Submit(SampleJob("j", 1), kStart + Ms(4000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sink_.answers.size());
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kCancelled);
  }

  // The same if the cancel is read first, or the job is known to another entry only.
  void CancelThatOvertakesItsJobHolds() {
    dispatcher_->Cancel("j", kStart);
    dispatcher_->Submit(SampleJob("j", 1), kStart + Ms(20));
    CPPUNIT_ASSERT(sink_.orders.empty());
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kCancelled);
    CPPUNIT_ASSERT((dispatcher_->RecentCancels(kStart) == std::vector<std::string>{"j"}));
    CPPUNIT_ASSERT(dispatcher_->RecentCancels(kStart + Ms(11000)).empty());
  }

  // Guards against two answers to one job.
  void CancelOfAnEndedJobChangesNoAnswer() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Report(0, RunReport::Kind::kDone);
    dispatcher_->Cancel("j", kStart + Ms(70));
    dispatcher_->Submit(SampleJob("j", 1), kStart + Ms(2000));
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kCompleted);
  }

  // A second submission waits for a stop and its caller disconnects. Guards
  // against never answering it.
  void AbandonedSecondSubmissionIsAnswered() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Report(0, RunReport::Kind::kStarted);
    dispatcher_->Abandon("j", kStart + Ms(5));
    dispatcher_->Submit(SampleJob("j", 1), kStart + Ms(10));
    dispatcher_->Abandon("j", kStart + Ms(15));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.answers.size());
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kCancelled);
    Report(0, RunReport::Kind::kLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatcher_->size());
  }

  // A backlog of three seconds. Guards against telling refused callers to retry
  // while the same backlog remains.
  void RefusedCallersReturnAfterTheBacklog() {
    WorkerState state = IdleWorker();
    state.free = {};
    state.queued_work = SampleWorker().total.cpu_millicores * 3000;
    state.late_work = SampleWorker().total.cpu_millicores * 9000;
    dispatcher_->OnWorkerState("agent-1", state, 0, kStart);
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kNotRun);
    CPPUNIT_ASSERT(sink_.answers.back().second.retry_after >= Ms(3000));
    CPPUNIT_ASSERT(sink_.answers.back().second.retry_after < Ms(4000));
  }

  // Guards against retry delays that reserve capacity for work that was not
  // refused.
  void JobThatMayHaveRunReservesNoRetry() {
    JobRequest wide = SampleJob("wide", 10);
    wide.steps[0].estimate = Ms(5000);
    wide.useful_until = wide.deadline = kStart + Ms(6000);
    dispatcher_->Submit(wide, kStart);
    Report(0, RunReport::Kind::kStarted);
    dispatcher_->Advance(kStart + Ms(6001));
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kMayHaveRun);
    WorkerState state = IdleWorker();
    state.free = {};
    state.queued_work = SampleWorker().total.cpu_millicores * 500;
    dispatcher_->OnWorkerState("agent-1", state, 10, kStart);
    JobRequest late = SampleJob("late", 1);
    late.useful_until = kStart + Ms(6200);
    dispatcher_->Submit(late, kStart + Ms(6001));
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kNotRun);
    CPPUNIT_ASSERT(sink_.answers.back().second.retry_after < Ms(1000));
  }

  // Guards against running a job again when a duplicate submission arrives
  // late.
  void DuplicateOfAnEndedJobGetsItsAnswer() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Report(0, RunReport::Kind::kDone);
    dispatcher_->Submit(SampleJob("j", 1), kStart + Ms(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.answers.size());
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kCompleted);
  }

  // One backend server has a queue while another is idle. Guards against tasks
  // that stay queued although resources are free.
  void WaitingRunMovesToAFreeWorker() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    WorkerState full = IdleWorker();
    full.free = {};
    full.queued_work = 6000 * 60;
    dispatcher_->OnWorkerState("agent-1", full, 1, kStart);
    Connect("agent-2", 1);
    Report(0, RunReport::Kind::kQueued);
    dispatcher_->Advance(kStart + Ms(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.withdrawals.size());
    Report(0, RunReport::Kind::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::string("agent-2"), sink_.orders.at(1).agent);
  }

  // A backend server is slow. Guards against waiting for a stalled run, and
  // against moving a run that ends sooner where it is.
  void SlowRunMovesOnlyIfItEndsSooner() {
    Connect("agent-2", 1);
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    const auto first = sink_.orders[0];
    dispatcher_->OnReport(first.agent, {first.id, RunReport::Kind::kStarted, Ms(100)},
                          kStart + Ms(150));
    CPPUNIT_ASSERT(sink_.stops.empty());
    dispatcher_->OnReport(first.agent, {first.id, RunReport::Kind::kStarted, Ms(900)},
                          kStart + Ms(160));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.stops.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    Report(0, RunReport::Kind::kLost, kStart + Ms(200));
    CPPUNIT_ASSERT(sink_.orders.at(1).agent != first.agent);
  }

  // Guards against placing tasks in a data centre that is being evacuated.
  void NoTaskIsPlacedInAnEvacuatedDataCentre() {
    dispatcher_->SetEvacuated({"a"});
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    CPPUNIT_ASSERT(sink_.orders.empty());
    dispatcher_->SetEvacuated({});
    dispatcher_->Advance(kStart + Ms(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
  }

  // Guards against a start before the steps it depends on are done.
  void LaterStepsWaitForEarlierOnes() {
    JobRequest job = SampleJob("j", 1);
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {0};
    dispatcher_->Submit(job, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    Report(0, RunReport::Kind::kDone);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, sink_.orders.at(1).id.task.step);
  }

  // Guards against a job that fails because of one queued run, and against an
  // expedite message for each run that ends.
  void LastWaitingRunsOfAJobAreExpeditedOnce() {
    dispatcher_->Submit(SampleJob("j", 6), kStart);
    for (std::size_t i = 0; i < 3; ++i) Report(i, RunReport::Kind::kDone);
    CPPUNIT_ASSERT(sink_.expedites.empty());
    Report(4, RunReport::Kind::kStarted);
    Report(5, RunReport::Kind::kQueued);
    Report(3, RunReport::Kind::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.expedites.size());
    CPPUNIT_ASSERT(sink_.expedites[0].id == sink_.orders[5].id);
    Report(4, RunReport::Kind::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.expedites.size());
  }

  // Guards against placements whose reasons cannot be found in the logs.
  void PlacementsAreReportedWithTheirReasons() {
    dispatcher_->OnWorkerState("agent-1", IdleWorker(), 0, kStart + Ms(7));
    dispatcher_->Submit(SampleJob("j", 2), kStart + Ms(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.placed.size());
    CPPUNIT_ASSERT(sink_.placed[1].id == sink_.orders[1].id);
    CPPUNIT_ASSERT_EQUAL(std::string("agent-1"), sink_.placed[1].choice.agent);
    CPPUNIT_ASSERT(sink_.placed[1].choice.state_time == kStart + Ms(7));
  }

  RecordingEntrySink sink_;
  std::unique_ptr<JobDispatcher> dispatcher_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobDispatcherTest);

}  // namespace
}  // namespace coltsfoottide::direct
