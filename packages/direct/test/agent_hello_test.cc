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
    dispatcher_->OnAgentHello({first.agent, 2, false, {}}, kStart + Ms(600));
    dispatcher_->OnAgentLost(first.agent, kStart + Ms(610));
    dispatcher_->OnAgentHello({first.agent, 2, false, {}}, kStart + Ms(860));
    dispatcher_->Advance(kStart + Ms(870));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
  }

  RecordingEntrySink sink_;
  std::unique_ptr<JobDispatcher> dispatcher_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentHelloTest);

}  // namespace
}  // namespace coltsfoottide::direct
