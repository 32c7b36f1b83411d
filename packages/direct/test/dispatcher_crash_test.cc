#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "coltsfoottide/direct/job_dispatcher.h"
#include "direct_samples.h"
#include "recording_entry_sink.h"

namespace coltsfoottide::direct {
namespace {

// What an entry does about crashes of backend servers.
class DispatcherCrashTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherCrashTest);
  CPPUNIT_TEST(JobFailsWhenItsTaskIsTheCause);
  CPPUNIT_TEST(JobThatComesBackFailsWithoutAStart);
  CPPUNIT_TEST(HelloTellsANewEntryOfEarlierCrashes);
  CPPUNIT_TEST(OneCrashEndsNoJob);
  CPPUNIT_TEST(IsolatedStepKeepsTheBackendServersThatItNeeds);
  CPPUNIT_TEST(IsolationLeavesOtherStepsWhatTheyNeed);
  CPPUNIT_TEST(SpreadStepIsNotConfinedToTooFewBackendServers);
  CPPUNIT_TEST(RouteIsIsolatedWhenItTakesAQuarterOfTheFleet);
  CPPUNIT_TEST(IsolatedJobIsRefusedAtOnceWithoutABackendServer);
  CPPUNIT_TEST(EntryThatConnectsIsToldWhatIsIsolated);
  CPPUNIT_TEST(FindingOfAnotherEntryIsolatesNothing);
  CPPUNIT_TEST(ExpiredIsolationIsNotAdopted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    Restart();
    for (const char* it : {"agent-1", "agent-2", "agent-3", "agent-4"}) Connect(it, {});
  }

 private:
  void Restart() {
    sink_ = RecordingEntrySink();
    dispatcher_ =
        std::make_unique<JobDispatcher>(JobDispatcher::Tuning{Ms(1800), 1}, "a", 1.5, sink_);
  }

  void Connect(const std::string& agent, const std::vector<WorkerCrash>& crashes) {
    dispatcher_->OnAgentHello({agent, 1, true, {}, crashes}, kStart);
    dispatcher_->OnWorkerDescription(agent, SampleWorker());
    dispatcher_->OnWorkerState(agent, IdleWorker(), 0, kStart);
  }

  // The backend server of the agent crashes 20 ms after it has started the runs that the
  // dispatcher has ordered there since the order with this number.
  void Crash(const std::string& agent, std::size_t first_order) {
    WorkerCrash crash;
    crash.incarnation = 1;
    crash.time = kStart + Ms(20);
    const std::vector<RecordingEntrySink::Sent> orders = sink_.orders;
    for (std::size_t i = first_order; i < orders.size(); ++i) {
      if (orders[i].agent == agent) crash.runs.push_back({orders[i].id, Ms(20), true, "lookups"});
    }
    WorkerState down = IdleWorker();
    down.ready = false;
    dispatcher_->OnWorkerState(agent, down, 0, crash.time);
    dispatcher_->OnWorkerCrash(agent, crash, crash.time);
    for (const RunAtCrash& it : crash.runs) {
      dispatcher_->OnReport(agent, {it.id, RunReport::Kind::kLost, {}}, crash.time);
    }
  }

  // Guards against starting the task for as long as its deadline allows (issue 24).
  void JobFailsWhenItsTaskIsTheCause() {
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Crash(sink_.orders[0].agent, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
    CPPUNIT_ASSERT(sink_.answers.empty());
    Crash(sink_.orders[1].agent, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.answers.size());
    CPPUNIT_ASSERT(sink_.answers[0].second.kind == JobOutcome::Kind::kFailed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.crash_verdicts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatcher_->size());
  }

  // A late copy of the submission arrives after the answer has been forgotten. Guards
  // against another round of crashes.
  void JobThatComesBackFailsWithoutAStart() {
    JobFailsWhenItsTaskIsTheCause();
    dispatcher_->Submit(SampleJob("j", 1), kStart + Ms(15'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.answers.size());
    CPPUNIT_ASSERT(sink_.answers[1].second.kind == JobOutcome::Kind::kFailed);
  }

  // Guards against an entry that begins to count anew after its restart.
  void HelloTellsANewEntryOfEarlierCrashes() {
    const RunAtCrash run{{{"j", 0, 0}, 1}, Ms(20), true, "lookups"};
    Connect("agent-5", {WorkerCrash{1, kStart - Ms(500), {run}}});
    Connect("agent-6", {WorkerCrash{1, kStart - Ms(300), {run}}});
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    CPPUNIT_ASSERT(sink_.orders.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.answers.size());
    CPPUNIT_ASSERT(sink_.answers[0].second.kind == JobOutcome::Kind::kFailed);
  }

  // A task was beside the cause at one crash, on a route that is known for such tasks.
  // Guards against giving up jobs without fault: it takes two crashes.
  void OneCrashEndsNoJob() {
    dispatcher_->OnCrashingRoute("lookups", kStart, kStart);
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Crash(sink_.orders[0].agent, 0);
    CPPUNIT_ASSERT(sink_.answers.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sink_.orders.size());
    dispatcher_->OnReport(sink_.orders[1].agent, {sink_.orders[1].id, RunReport::Kind::kDone, {}},
                          kStart + Ms(90));
    CPPUNIT_ASSERT(sink_.answers.back().second.kind == JobOutcome::Kind::kCompleted);
  }

  // Isolates "lookups" with the two backend servers that have crashed; "checks" keeps the
  // others.
  std::set<std::string> Isolate() {
    RouteIsIsolatedWhenItTakesAQuarterOfTheFleet();
    return sink_.isolations.front().second;
  }
  JobRequest RouteJob(const std::string& id, const std::string& route) {
    JobRequest job = SampleJob(id, 1);
    job.route = route;
    return job;
  }
  void SetLabel(const std::string& agent, const std::string& label) {
    WorkerDescription description = SampleWorker();
    description.labels = {label};
    dispatcher_->OnWorkerDescription(agent, description);
  }

  // Guards against refusing every job of an isolated route whose tasks need a label that
  // none of its backend servers has.
  void IsolatedStepKeepsTheBackendServersThatItNeeds() {
    const std::set<std::string> confined = Isolate();
    for (const char* it : {"agent-1", "agent-2", "agent-3", "agent-4"}) {
      if (!confined.contains(it)) SetLabel(it, "large");
    }
    JobRequest job = RouteJob("next", "lookups");
    job.steps.front().required_label = "large";
    const std::size_t orders = sink_.orders.size();
    dispatcher_->Submit(std::move(job), kStart + Ms(30));
    CPPUNIT_ASSERT_EQUAL(orders + 1, sink_.orders.size());
  }

  // Guards against leaving another route without the only backend server that it can
  // use.
  void IsolationLeavesOtherStepsWhatTheyNeed() {
    const std::string confined = *Isolate().begin();
    SetLabel(confined, "large");
    dispatcher_->OnWorkerState(confined, IdleWorker(), 0, kStart + Ms(30));
    JobRequest job = RouteJob("next", "checks");
    job.steps.front().required_label = "large";
    dispatcher_->Submit(std::move(job), kStart + Ms(30));
    CPPUNIT_ASSERT_EQUAL(confined, sink_.orders.back().agent);
  }

  // A step of four tasks may have one on each backend server, and its route has two.
  // Guards against jobs that can never be placed.
  void SpreadStepIsNotConfinedToTooFewBackendServers() {
    for (const std::string& it : Isolate()) {
      dispatcher_->OnWorkerState(it, IdleWorker(), 0, kStart + Ms(30));
    }
    JobRequest job = SampleJob("next", 4);
    job.steps.front().max_per_worker = 1;
    const std::size_t orders = sink_.orders.size();
    dispatcher_->Submit(std::move(job), kStart + Ms(30));
    CPPUNIT_ASSERT_EQUAL(orders + 4, sink_.orders.size());
  }

  // Guards against one route that crashes backend server after backend server of a
  // service that others need too.
  void RouteIsIsolatedWhenItTakesAQuarterOfTheFleet() {
    JobRequest other = SampleJob("other", 1);
    other.route = "checks";
    dispatcher_->Submit(std::move(other), kStart);
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    Crash(sink_.orders[1].agent, 1);
    CPPUNIT_ASSERT(sink_.isolations.empty());
    Crash(sink_.orders[2].agent, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.isolations.size());
    CPPUNIT_ASSERT(sink_.crashing_routes == std::vector<std::string>{"lookups"});
    const auto& [route, agents] = sink_.isolations.front();
    CPPUNIT_ASSERT_EQUAL(std::string("lookups"), route);
    // Half of the work, and the two that have crashed.
    const std::set<std::string> crashed = {sink_.orders[1].agent, sink_.orders[2].agent};
    CPPUNIT_ASSERT(agents == crashed);
  }

  // All backend servers of the route are down. Guards against callers that wait until it
  // is too late, and against a refusal that names the backlog as its reason.
  void IsolatedJobIsRefusedAtOnceWithoutABackendServer() {
    RouteIsIsolatedWhenItTakesAQuarterOfTheFleet();
    const std::size_t orders = sink_.orders.size();
    dispatcher_->Submit(SampleJob("next", 2), kStart + Ms(30));
    CPPUNIT_ASSERT_EQUAL(orders, sink_.orders.size());
    const JobOutcome& outcome = sink_.answers.back().second;
    CPPUNIT_ASSERT(outcome.kind == JobOutcome::Kind::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::string("isolated"), outcome.reason);
    CPPUNIT_ASSERT(outcome.retry_after > core::Duration::zero());
    JobRequest other = SampleJob("other-2", 1);
    other.route = "checks";
    dispatcher_->Submit(std::move(other), kStart + Ms(30));
    CPPUNIT_ASSERT_EQUAL(orders + 1, sink_.orders.size());
    CPPUNIT_ASSERT(!sink_.isolations.front().second.contains(sink_.orders.back().agent));
  }

  // Two backend servers have crashed and are back. Guards against a new process that waits
  // for further crashes before it isolates a route.
  void EntryThatConnectsIsToldWhatIsIsolated() {
    RouteIsIsolatedWhenItTakesAQuarterOfTheFleet();
    const std::string back = *sink_.isolations.front().second.begin();
    const core::TimePoint now = kStart + Ms(200);
    const auto isolated = dispatcher_->IsolatedRoutes(now);
    const auto found = dispatcher_->RecentCrashingRoutes(now);
    Restart();
    for (const auto& [route, time] : isolated) dispatcher_->OnPeerIsolation(route, time, now);
    for (const auto& [route, time] : found) dispatcher_->OnCrashingRoute(route, time, now);
    dispatcher_->Submit(SampleJob("next", 1), now);
    Connect("agent-5", {});
    dispatcher_->Advance(now + Ms(20));
    CPPUNIT_ASSERT(sink_.orders.empty());
    Connect(back, {WorkerCrash{1, kStart + Ms(20), {}}});
    dispatcher_->Advance(now + Ms(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    CPPUNIT_ASSERT_EQUAL(back, sink_.orders.front().agent);
  }

  // No backend server is down. Guards against isolation of a route that no entry isolates:
  // a finding, however old, is not one.
  void FindingOfAnotherEntryIsolatesNothing() {
    dispatcher_->OnCrashingRoute("lookups", kStart - Ms(1000), kStart);
    CPPUNIT_ASSERT(dispatcher_->IsolatedRoutes(kStart).empty());
    dispatcher_->Submit(SampleJob("j", 1), kStart);
    CPPUNIT_ASSERT(sink_.isolations.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink_.orders.size());
    const auto found = dispatcher_->RecentCrashingRoutes(kStart + Ms(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
    CPPUNIT_ASSERT(found.at("lookups") == kStart - Ms(1000));
  }

  // Guards against entries that keep a route isolated by telling each other of it.
  void ExpiredIsolationIsNotAdopted() {
    dispatcher_->OnPeerIsolation("lookups", kStart - Ms(9000), kStart);
    CPPUNIT_ASSERT(dispatcher_->IsolatedRoutes(kStart).at("lookups") == kStart - Ms(9000));
    CPPUNIT_ASSERT(dispatcher_->IsolatedRoutes(kStart + Ms(1000)).empty());
    dispatcher_->OnPeerIsolation("checks", kStart - Ms(10'000), kStart);
    CPPUNIT_ASSERT(!dispatcher_->IsolatedRoutes(kStart).contains("checks"));
  }

  RecordingEntrySink sink_;
  std::unique_ptr<JobDispatcher> dispatcher_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherCrashTest);

}  // namespace
}  // namespace coltsfoottide::direct
