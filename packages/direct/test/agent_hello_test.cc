#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>

#include "coltsfoottide/direct/job_dispatcher.h"
#include "direct_samples.h"
#include "recording_entry_sink.h"

namespace coltsfoottide::direct {
namespace {

constexpr core::Duration kBound = std::chrono::milliseconds(1800);

class AgentHelloTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentHelloTest);
  CPPUNIT_TEST(IncompleteHellosOfOneProcessEndNoRun);
  CPPUNIT_TEST(ReturningServerOfAnotherKindGetsNoRun);
  CPPUNIT_TEST(ReturningServerGetsItsRunsAgain);
  CPPUNIT_TEST(NothingIsPlacedBeforeTheDescriptionHasArrived);
  CPPUNIT_TEST(OrdersNameTheIncarnation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    sink_ = RecordingEntrySink();
    dispatcher_ =
        std::make_unique<JobDispatcher>(JobDispatcher::Tuning{kBound, 1}, "a", 1.5, sink_);
    for (const char* agent : {"agent-1", "agent-2"}) {
      dispatcher_->OnAgentHello({agent, 1, true, {}}, kStart);
      dispatcher_->OnWorkerDescription(agent, SampleWorker());
      dispatcher_->OnWorkerState(agent, IdleWorker(), 0, kStart);
    }
  }

 private:
  // An agent restarts, its backend server does not answer, and the new connection breaks
  // before it does. Guards against a second run of a task whose run of the earlier agent
  // process goes on: neither hello could list it.
  void IncompleteHellosOfOneProcessEndNoRun() {
    JobRequest job = SampleJob("j", 1);
    job.useful_until = kStart + Ms(5000);
    job.deadline = kStart + Ms(5000);
    dispatcher_->Submit(job, kStart);
    const RecordingEntrySink::Sent first = sink_.orders.at(0);
    dispatcher_->OnReport(first.agent, {first.id, RunReport::Kind::kStarted, {}}, kStart + Ms(1));
    dispatcher_->OnAgentLost(first.agent, kStart + Ms(50));
    dispatcher_->OnAgentHello(SampleHello(first.agent, 2, false, {}), kStart + Ms(600));
    dispatcher_->OnAgentLost(first.agent, kStart + Ms(610));
    dispatcher_->OnAgentHello(SampleHello(first.agent, 2, false, {}), kStart + Ms(860));
    dispatcher_->Advance(kStart + Ms(870));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
  }

  // A backend server that only it has: the service, and the label.
  static WorkerDescription Special(const std::string& service, const std::string& label) {
    WorkerDescription description = SampleWorker();
    description.service = service;
    description.labels = {label};
    return description;
  }

  // A job that requires the label "large" runs at the only agent with it, which is lost for a
  // second. Returns the run.
  RecordingEntrySink::Sent RunAndLose() {
    dispatcher_->OnWorkerDescription("agent-2", Special("review", "large"));
    JobRequest job = SampleJob("j", 1);
    job.steps.front().required_label = "large";
    job.useful_until = kStart + Ms(8000);
    job.deadline = kStart + Ms(8000);
    dispatcher_->Submit(job, kStart);
    RecordingEntrySink::Sent sent = sink_.orders.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("agent-2"), sent.agent);
    dispatcher_->OnReport(sent.agent, {sent.id, RunReport::Kind::kStarted, {}}, kStart + Ms(1));
    dispatcher_->OnAgentLost(sent.agent, kStart + Ms(50));
    return sent;
  }

  // The hello of the agent after its backend server has started again.
  AgentHello Return(const RecordingEntrySink::Sent& run, const WorkerDescription& description) {
    AgentHello hello = SampleHello(run.agent, 1, true, {{run.id, RunReport::Kind::kLost, {}}});
    hello.description = description;
    return hello;
  }

  // Guards against a run on a backend server without the required label, or of another service:
  // behind a cut it has started again as one of another kind.
  void ReturningServerOfAnotherKindGetsNoRun() {
    for (const auto& description : {Special("review", "small"), Special("upload", "large")}) {
      setUp();
      const auto run = RunAndLose();
      dispatcher_->OnAgentHello(Return(run, description), kStart + Ms(1000));
      dispatcher_->Advance(kStart + Ms(1020));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    }
  }

  // Guards against tasks that wait for a state when the hello has brought it.
  void ReturningServerGetsItsRunsAgain() {
    const auto run = RunAndLose();
    dispatcher_->OnAgentHello(Return(run, Special("review", "large")), kStart + Ms(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
    CPPUNIT_ASSERT_EQUAL(run.agent, sink_.orders.back().agent);
  }

  // Guards against a placement by the description of before the connection, if the hello comes
  // without one.
  void NothingIsPlacedBeforeTheDescriptionHasArrived() {
    const auto run = RunAndLose();
    dispatcher_->OnAgentHello({run.agent, 1, true, {{run.id, RunReport::Kind::kLost, {}}}},
                              kStart + Ms(1000));
    dispatcher_->OnWorkerState(run.agent, IdleWorker(), 0, kStart + Ms(1001));
    dispatcher_->Advance(kStart + Ms(1020));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    dispatcher_->OnWorkerDescription(run.agent, Special("review", "large"));
    dispatcher_->Advance(kStart + Ms(1040));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
  }

  // Guards against an agent that cannot tell for which incarnation of its backend server an order
  // was placed.
  void OrdersNameTheIncarnation() {
    for (const std::int64_t incarnation : {1000, 2000}) {
      WorkerDescription description = Special("upload", "large");
      description.incarnation = incarnation;
      dispatcher_->OnWorkerDescription("agent-2", description);
      JobRequest job = SampleJob("j" + std::to_string(incarnation), 1);
      job.service = "upload";
      dispatcher_->Submit(job, kStart);
      CPPUNIT_ASSERT_EQUAL(incarnation, sink_.latest_order.incarnation);
    }
  }

  RecordingEntrySink sink_;
  std::unique_ptr<JobDispatcher> dispatcher_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentHelloTest);

}  // namespace
}  // namespace coltsfoottide::direct
