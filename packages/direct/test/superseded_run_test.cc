#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "coltsfoottide/direct/job_dispatcher.h"
#include "direct_samples.h"
#include "recording_entry_sink.h"

namespace coltsfoottide::direct {
namespace {

constexpr core::Duration kBound = std::chrono::milliseconds(1800);

// An agent stands still for longer than its runs are waited for, and connects again with
// runs whose tasks the entry has placed elsewhere.
class SupersededRunTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SupersededRunTest);
  CPPUNIT_TEST(QueuedRunThatWasPlacedElsewhereIsStopped);
  CPPUNIT_TEST(StartedRunThatWasPlacedElsewhereIsStopped);
  CPPUNIT_TEST(RunWhoseTaskWaitsForAPlaceIsStopped);
  CPPUNIT_TEST(ReportOfARunThatWasPlacedElsewhereStopsIt);
  CPPUNIT_TEST(RunsOfUnknownJobsAreLeftAlone);
  CPPUNIT_TEST(HigherRunOfAnotherEntryIsLeftAlone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    sink_ = RecordingEntrySink();
    dispatcher_ =
        std::make_unique<JobDispatcher>(JobDispatcher::Tuning{kBound, 1}, "a", 1.5, sink_);
    Connect("agent-1");
  }

 private:
  void Connect(const std::string& agent) {
    dispatcher_->OnAgentHello({agent, 1, true, {}}, kStart);
    dispatcher_->OnWorkerDescription(agent, SampleWorker());
    dispatcher_->OnWorkerState(agent, IdleWorker(), 0, kStart);
  }

  // Places a run at agent-1, which is then silent for kBound. Returns the run.
  RunId LoseFirstRun() {
    JobRequest job = SampleJob("j", 1);
    job.useful_until = kStart + Ms(3000);
    job.deadline = kStart + Ms(3000);
    dispatcher_->Submit(job, kStart);
    dispatcher_->OnAgentLost("agent-1", kStart);
    dispatcher_->Advance(kStart + kBound);
    return sink_.orders.at(0).id;
  }

  void ReconnectWith(const RunId& id, RunReport::Kind kind) {
    dispatcher_->OnAgentHello(SampleHello("agent-1", 1, true, {RunReport{id, kind, {}}}),
                              kStart + kBound + Ms(10));
  }

  void AssertStopped(const RunId& id) const {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.stops.size());
    CPPUNIT_ASSERT_EQUAL(std::string("agent-1"), sink_.stops[0].agent);
    CPPUNIT_ASSERT(sink_.stops[0].id == id);
    CPPUNIT_ASSERT(sink_.claims.empty());
  }

  // Guards against two runs of a task: the first waits in the agent's queue and starts
  // when resources are free.
  void QueuedRunThatWasPlacedElsewhereIsStopped() {
    Connect("agent-2");
    const RunId first = LoseFirstRun();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
    ReconnectWith(first, RunReport::Kind::kQueued);
    AssertStopped(sink_.orders[0].id);
  }

  // Guards against a first run that goes on beside the second until it ends.
  void StartedRunThatWasPlacedElsewhereIsStopped() {
    Connect("agent-2");
    const RunId first = LoseFirstRun();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
    ReconnectWith(first, RunReport::Kind::kStarted);
    AssertStopped(first);
  }

  // Guards against placing a task while a run that was given up goes on.
  void RunWhoseTaskWaitsForAPlaceIsStopped() {
    const RunId first = LoseFirstRun();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    ReconnectWith(first, RunReport::Kind::kStarted);
    AssertStopped(first);
  }

  // Guards against a run that starts only after the hello, and goes on beside the second.
  void ReportOfARunThatWasPlacedElsewhereStopsIt() {
    Connect("agent-2");
    const RunId first = LoseFirstRun();
    dispatcher_->OnAgentHello(SampleHello("agent-1", 1, true, {}), kStart + kBound + Ms(10));
    dispatcher_->OnReport("agent-1", {first, RunReport::Kind::kStarted, {}},
                          kStart + kBound + Ms(20));
    AssertStopped(first);
  }

  // Guards against stopping unclaimed runs of other entries, which claim them themselves.
  void RunsOfUnknownJobsAreLeftAlone() {
    ReconnectWith(RunId{TaskId{"other", 0, 0}, 1}, RunReport::Kind::kStarted);
    CPPUNIT_ASSERT(sink_.stops.empty());
  }

  // The caller has gone over to another entry, whose runs have higher numbers. Guards
  // against stopping them there.
  void HigherRunOfAnotherEntryIsLeftAlone() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    RunId higher = sink_.orders.at(0).id;
    ++higher.number;
    ReconnectWith(higher, RunReport::Kind::kStarted);
    CPPUNIT_ASSERT(sink_.stops.empty());
  }

  RecordingEntrySink sink_;
  std::unique_ptr<JobDispatcher> dispatcher_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SupersededRunTest);

}  // namespace
}  // namespace coltsfoottide::direct
