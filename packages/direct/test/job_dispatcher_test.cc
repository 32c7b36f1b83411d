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
  CPPUNIT_TEST(RunsAgainOnlyAfterAProvenEnd);
  CPPUNIT_TEST(SilentAgentKeepsItsRunsForTheBound);
  CPPUNIT_TEST(RestartedAgentKeepsItsRuns);
  CPPUNIT_TEST(AgentThatKnowsItsRunsFreesTheOthers);
  CPPUNIT_TEST(RunOrderedWhileAHelloIsReadIsNotTakenForOver);
  CPPUNIT_TEST(FailsAfterTheAllowedAttempts);
  CPPUNIT_TEST(RefusesAtOnceWhatTheBacklogMakesUseless);
  CPPUNIT_TEST(NotRunIsSaidOnlyAfterAllOrdersAreWithdrawn);
  CPPUNIT_TEST(StartedJobIsNeverRefusedAsNotRun);
  CPPUNIT_TEST(CancelStopsRunsAndFreesTheId);
  CPPUNIT_TEST(SameIdAgainRunsAfterTheStoppedOne);
  CPPUNIT_TEST(CancelOfAWaitingSecondSubmissionIsAnswered);
  CPPUNIT_TEST(RefusedCallersReturnAfterTheBacklog);
  CPPUNIT_TEST(JobThatMayHaveRunBooksNoReturn);
  CPPUNIT_TEST(DuplicateOfAnEndedJobGetsItsAnswer);
  CPPUNIT_TEST(WaitingRunMovesToAFreeWorker);
  CPPUNIT_TEST(SlowRunMovesOnlyWhereThatPays);
  CPPUNIT_TEST(NothingGoesToAnEvacuatedDataCentre);
  CPPUNIT_TEST(LaterStepsWaitForEarlierOnes);
  CPPUNIT_TEST(LastWaitingRunsOfAJobAreExpeditedOnce);
  CPPUNIT_TEST(PlacementsAreToldWithWhatDecidedThem);
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
  void RunsAgainOnlyAfterAProvenEnd() {
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
  void SilentAgentKeepsItsRunsForTheBound() {
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

  // Guards against losing the work of a backend server whose agent restarts.
  void RestartedAgentKeepsItsRuns() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Report(0, RunReport::Kind::kStarted);
    dispatcher_->OnAgentLost("agent-1", kStart);
    const RunReport running{sink_.orders[0].id, RunReport::Kind::kStarted, {}};
    dispatcher_->OnAgentHello({"agent-1", 2, true, {running}}, kStart + Ms(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.claims.size());
    Report(0, RunReport::Kind::kDone);
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kCompleted);
  }

  // Guards against waiting out the bound for a run that provably is over.
  void AgentThatKnowsItsRunsFreesTheOthers() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    dispatcher_->OnAgentLost("agent-1", kStart);
    dispatcher_->OnAgentHello({"agent-1", 2, false, {}}, kStart + Ms(50));
    dispatcher_->OnWorkerState("agent-1", IdleWorker(), 0, kStart);
    dispatcher_->Advance(kStart + Ms(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    dispatcher_->OnAgentHello({"agent-1", 2, true, {}}, kStart + Ms(70));
    dispatcher_->Advance(kStart + Ms(80));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
  }

  // A frozen entry wakes, its agents connect again and tell that its runs are
  // over. Guards against taking the run that is ordered in their place for
  // over too, as the hello cannot list it, and against a second one beside it.
  void RunOrderedWhileAHelloIsReadIsNotTakenForOver() {
    Connect("agent-2", 1);
    dispatcher_->Submit(SampleJob("j", 2), kStart);
    Report(0, RunReport::Kind::kStarted);
    Report(1, RunReport::Kind::kStarted);
    const std::string agent = sink_.orders[0].agent;
    AgentHello hello{agent, 1, true, {}};
    for (const RecordingEntrySink::Sent& it : sink_.orders) {
      if (it.agent == agent) hello.runs.push_back({it.id, RunReport::Kind::kLost, {}});
    }
    const std::size_t over = hello.runs.size();
    dispatcher_->OnAgentHello(hello, kStart + Ms(50));
    CPPUNIT_ASSERT_EQUAL(2 + over, sink_.orders.size());
  }

  // Guards against a task that fails for ever, and against blaming lost runs.
  void FailsAfterTheAllowedAttempts() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Report(0, RunReport::Kind::kLost);
    Report(1, RunReport::Kind::kFailed);
    Report(2, RunReport::Kind::kFailed);
    CPPUNIT_ASSERT(sink_.answers.empty());
    Report(3, RunReport::Kind::kFailed);
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kFailed);
  }

  // Overload: a backlog longer than the time in which an answer is of use.
  // Guards against holding a job that cannot be served until its caller leaves.
  void RefusesAtOnceWhatTheBacklogMakesUseless() {
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

  // Guards against "not run" for a job of which an order is still out.
  void NotRunIsSaidOnlyAfterAllOrdersAreWithdrawn() {
    dispatcher_->Submit(SampleJob("j", 2), kStart);
    // One task comes back when it is too late to try elsewhere.
    Report(0, RunReport::Kind::kNotRun, kStart + Ms(430));
    CPPUNIT_ASSERT(sink_.answers.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.withdrawals.size());
    Report(1, RunReport::Kind::kNotRun, kStart + Ms(432));
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kNotRun);
  }

  // Guards against an untrue "not run".
  void StartedJobIsNeverRefusedAsNotRun() {
    dispatcher_->Submit(SampleJob("j", 2), kStart);
    Report(0, RunReport::Kind::kStarted);
    Report(0, RunReport::Kind::kLost, kStart + Ms(430));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.answers.size());
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kMayHaveRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.stops.size());
  }

  // Guards against work that goes on after its caller has left.
  void CancelStopsRunsAndFreesTheId() {
    dispatcher_->Submit(SampleJob("j", 2), kStart);
    Report(0, RunReport::Kind::kStarted);
    dispatcher_->Cancel("j", kStart + Ms(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.stops.size());
    CPPUNIT_ASSERT(!dispatcher_->InProgress("j"));
    Report(0, RunReport::Kind::kLost);
    Report(1, RunReport::Kind::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatcher_->size());
  }

  // Guards against two runs at a time when a caller comes back quickly.
  void SameIdAgainRunsAfterTheStoppedOne() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Report(0, RunReport::Kind::kStarted);
    dispatcher_->Cancel("j", kStart + Ms(5));
    dispatcher_->Submit(SampleJob("j", 1), kStart + Ms(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    Report(0, RunReport::Kind::kLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
    CPPUNIT_ASSERT(sink_.orders[1].id.number > sink_.orders[0].id.number);
  }

  // Guards against a submission that waits for a stop, loses its caller, and
  // never gets a final answer.
  void CancelOfAWaitingSecondSubmissionIsAnswered() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Report(0, RunReport::Kind::kStarted);
    dispatcher_->Cancel("j", kStart + Ms(5));
    dispatcher_->Submit(SampleJob("j", 1), kStart + Ms(10));
    dispatcher_->Cancel("j", kStart + Ms(15));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.answers.size());
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kCancelled);
    Report(0, RunReport::Kind::kLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatcher_->size());
  }

  // Overload: a backlog of three seconds. Guards against callers that are
  // refused and told to return into the same backlog.
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

  // Guards against refusals that wait behind work which was not refused.
  void JobThatMayHaveRunBooksNoReturn() {
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

  // Guards against a second execution for a duplicate that arrives late.
  void DuplicateOfAnEndedJobGetsItsAnswer() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Report(0, RunReport::Kind::kDone);
    dispatcher_->Submit(SampleJob("j", 1), kStart + Ms(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.answers.size());
    CPPUNIT_ASSERT(LastAnswer() == JobOutcome::Kind::kCompleted);
  }

  // Uneven load: one backend server has a queue while another is idle. Guards
  // against tasks that wait beside free room.
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

  // Slow backend servers: guards against waiting for a run that stands still,
  // and against moving one that ends sooner where it is.
  void SlowRunMovesOnlyWhereThatPays() {
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

  // Guards against starts in a data centre that is being emptied.
  void NothingGoesToAnEvacuatedDataCentre() {
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

  // Guards against a job that fails for one run in a queue, and against a
  // message for each end.
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

  // Guards against a failure that nobody can explain afterwards.
  void PlacementsAreToldWithWhatDecidedThem() {
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
