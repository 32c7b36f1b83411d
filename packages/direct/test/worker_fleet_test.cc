#include "coltsfoottide/direct/worker_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

bool NeverFull(const std::string& /*agent*/) { return false; }

void Add(WorkerFleet& fleet, const std::string& agent, const WorkerState& state,
         const WorkerDescription& description = SampleWorker()) {
  fleet.Get(agent).OnConnected();
  fleet.Get(agent).OnDescription(description);
  fleet.Get(agent).OnState(state, 0, kStart);
}

// An entry's views and random numbers, and the choice for one task as the documentation of
// WorkerFleet::Choose states it: a new pass over all views, and the library's distribution.
struct Reference {
  std::map<std::string, WorkerView> workers;
  std::mt19937_64 random;

  std::string Choose(const StepRequest& step, const std::set<std::string>& excluded,
                     const std::set<std::string>& full) {
    std::vector<std::pair<std::string, core::Duration>> costs;
    core::Duration best = core::Duration::max();
    for (const auto& [agent, view] : workers) {
      if (!view.Serves("review") || !view.MeetsRequirements(step)) continue;
      if (excluded.contains(agent) || full.contains(agent)) continue;
      const core::Duration run_time = view.RunTime(step, 1.5);
      const bool far = view.description().data_centre != "a";
      const core::Duration cost =
          view.StartDelay(step.need) + run_time + view.FailurePenalty(run_time) + Ms(far ? 4 : 0);
      best = std::min(best, cost);
      costs.emplace_back(agent, cost);
    }
    std::erase_if(costs, [best](const auto& it) { return it.second > best + Ms(3); });
    if (costs.empty()) return excluded.empty() ? "" : Choose(step, {}, full);
    std::vector<double> weights;
    for (const auto& [agent, cost] : costs) {
      const double free = static_cast<double>(workers.at(agent).AvailableCpu()) + 1.0;
      weights.push_back(free * free);
    }
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    return costs[draw(random)].first;
  }
};

class WorkerFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerFleetTest);
  CPPUNIT_TEST(EntriesWithTheSameViewSpreadTheirWork);
  CPPUNIT_TEST(OrdersCountUntilAStateAccountsForThem);
  CPPUNIT_TEST(SmallDifferencesOfSpeedAreIgnored);
  CPPUNIT_TEST(SlowAndFailingWorkersAreAvoided);
  CPPUNIT_TEST(OwnDataCentreIsPreferredWhileItHasFreeResources);
  CPPUNIT_TEST(DataRackIsPreferred);
  CPPUNIT_TEST(UnusableWorkersAreNotChosen);
  CPPUNIT_TEST(TasksOfAStepArePlacedAsOneByOne);
  CPPUNIT_TEST(SlowerServersAreUsedWhenTheOthersAreFull);
  CPPUNIT_TEST(SpeedsOfSimilarServersAreIgnored);
  CPPUNIT_TEST(SpeedsAreIgnoredWithFewOthersToCompareWith);
  CPPUNIT_TEST(ServersWithoutMeasuredSpeedCountAsAverage);
  CPPUNIT_TEST(QueuedTasksDoNotMoveToSlowerServersThatEndLater);
  CPPUNIT_TEST_SUITE_END();

  // Guards against choices that differ from those of a new pass over all backend servers for
  // each task, in steps of random size in fleets of random states.
  void TasksOfAStepArePlacedAsOneByOne() {
    constexpr int kFleets = 200;
    for (unsigned seed = 0; seed < kFleets; ++seed) {
      std::mt19937 random(seed);
      const auto below = [&random](unsigned n) { return static_cast<unsigned>(random() % n); };
      WorkerFleet fleet("a", 1.5, seed);
      Reference reference{{}, std::mt19937_64(seed)};
      const unsigned workers = below(12);
      for (unsigned i = 0; i < workers; ++i) {
        WorkerDescription description = SampleWorker();
        description.data_centre = below(2) == 0 ? "a" : "b";
        WorkerState state = IdleWorker();
        state.ready = below(8) != 0;
        state.free.cpu_millicores = std::uint64_t{below(60)} * 1000;
        state.queued_work = below(3) == 0 ? std::uint64_t{below(1000)} * 1000 : 0;
        state.failure_ratio = below(6) == 0 ? 0.2 : 0;
        const std::string agent = "agent-" + std::to_string(i);
        Add(fleet, agent, state, description);
        reference.workers[agent] = fleet.Get(agent);
      }
      for (int job = 0; job < 5; ++job) {
        const StepRequest step = SampleJob("j", 1 + below(16)).steps[0];
        std::set<std::string> full;
        for (unsigned n = below(3); n > 0; --n) full.insert("agent-" + std::to_string(below(12)));
        auto candidates = fleet.FindCandidates("review", step, {});
        for (std::uint32_t task = 0; task < step.count; ++task) {
          std::set<std::string> excluded;
          if (below(4) == 0) excluded.insert("agent-" + std::to_string(below(12)));
          const auto choice = fleet.ChooseFrom(
              candidates, excluded, [&full](const std::string& it) { return full.contains(it); });
          CPPUNIT_ASSERT_EQUAL(reference.Choose(step, excluded, full),
                               choice ? choice->agent : std::string());
          if (!choice) continue;
          fleet.OnOrder(choice->agent, step, 0, candidates);
          reference.workers.at(choice->agent).OnOrder(step.need, step.estimate);
        }
      }
    }
  }

  // Many entries have equally old views. Guards against all of them filling the
  // one backend server that had the most free CPU.
  void EntriesWithTheSameViewSpreadTheirWork() {
    constexpr int kWorkers = 20;
    constexpr int kEntries = 12;
    constexpr int kTasks = 8;
    std::map<std::string, int> load;
    for (int entry = 0; entry < kEntries; ++entry) {
      WorkerFleet fleet("a", 1.5, static_cast<std::uint64_t>(entry));
      for (int i = 0; i < kWorkers; ++i) {
        WorkerState state = IdleWorker();
        state.free.cpu_millicores -= static_cast<std::uint64_t>(i) * 100;
        Add(fleet, "agent-" + std::to_string(i), state);
      }
      const JobRequest job = SampleJob("j", kTasks);
      for (int task = 0; task < kTasks; ++task) {
        const auto choice = fleet.Choose("review", job.steps[0], {}, NeverFull);
        fleet.Get(choice->agent).OnOrder(job.steps[0].need, job.steps[0].estimate);
        ++load[choice->agent];
      }
    }
    // 96 tasks on 20 backend servers of 10 slots: none may get more than fit.
    for (const auto& [agent, tasks] : load) CPPUNIT_ASSERT(tasks <= 10);
  }

  // Guards against counting an order twice or not at all.
  void OrdersCountUntilAStateAccountsForThem() {
    WorkerView view;
    view.OnConnected();
    view.OnDescription(SampleWorker());
    view.OnState(IdleWorker(), 0, kStart);
    view.OnOrder({6000, 64, 0}, Ms(60));
    view.OnOrder({6000, 64, 0}, Ms(60));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{52000}, view.AvailableCpu());
    WorkerState state = IdleWorker();
    state.free.cpu_millicores = 58000;
    view.OnState(state, 1, kStart);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{52000}, view.AvailableCpu());
    state.free.cpu_millicores = 52000;
    view.OnState(state, 2, kStart);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{52000}, view.AvailableCpu());
  }

  // Guards against avoiding idle backend servers because of callers' wrong
  // estimates, while others have queues.
  void SmallDifferencesOfSpeedAreIgnored() {
    WorkerFleet fleet("a", 1.5, 1);
    WorkerState noisy = IdleWorker();
    noisy.slowness = 2.0;
    Add(fleet, "noisy", noisy);
    WorkerState full = IdleWorker();
    full.free = {};
    full.queued_work = 1000;
    Add(fleet, "full", full);
    const auto choice = fleet.Choose("review", SampleJob("j", 1).steps[0], {}, NeverFull);
    CPPUNIT_ASSERT_EQUAL(std::string("noisy"), choice->agent);
  }

  // Guards against placing tasks on backend servers that are slow or fail
  // often.
  void SlowAndFailingWorkersAreAvoided() {
    WorkerFleet fleet("a", 1.5, 1);
    WorkerState slow = IdleWorker();
    slow.slowness = 5;
    Add(fleet, "slow", slow);
    WorkerState failing = IdleWorker();
    failing.failure_ratio = 0.8;
    Add(fleet, "failing", failing);
    Add(fleet, "sound", IdleWorker());
    for (int i = 0; i < 20; ++i) {
      const auto choice = fleet.Choose("review", SampleJob("j", 1).steps[0], {}, NeverFull);
      CPPUNIT_ASSERT_EQUAL(std::string("sound"), choice->agent);
    }
  }

  // Guards against needless traffic between data centres.
  void OwnDataCentreIsPreferredWhileItHasFreeResources() {
    WorkerFleet fleet("a", 1.5, 1);
    Add(fleet, "near", IdleWorker());
    Add(fleet, "far", IdleWorker(), SampleWorker("b"));
    const StepRequest step = SampleJob("j", 1).steps[0];
    CPPUNIT_ASSERT_EQUAL(std::string("near"), fleet.Choose("review", step, {}, NeverFull)->agent);
    WorkerState full = IdleWorker();
    full.free = {};
    Add(fleet, "near", full);
    CPPUNIT_ASSERT_EQUAL(std::string("far"), fleet.Choose("review", step, {}, NeverFull)->agent);
  }

  // Guards against runs that take longer because they are away from their data.
  void DataRackIsPreferred() {
    WorkerFleet fleet("a", 2.0, 1);
    WorkerDescription with_data = SampleWorker("b");
    with_data.rack = "r1";
    Add(fleet, "with data", IdleWorker(), with_data);
    Add(fleet, "without", IdleWorker());
    StepRequest step = SampleJob("j", 1).steps[0];
    step.data_rack = "r1";
    CPPUNIT_ASSERT_EQUAL(std::string("with data"),
                         fleet.Choose("review", step, {}, NeverFull)->agent);
  }

  // Guards against placement on a backend server that lacks the label, the
  // service or the resources, or that is draining.
  void UnusableWorkersAreNotChosen() {
    WorkerFleet fleet("a", 1.5, 1);
    WorkerState draining = IdleWorker();
    draining.draining = true;
    Add(fleet, "draining", draining);
    WorkerDescription other = SampleWorker();
    other.service = "other";
    Add(fleet, "other service", IdleWorker(), other);
    StepRequest step = SampleJob("j", 1).steps[0];
    CPPUNIT_ASSERT(!fleet.Choose("review", step, {}, NeverFull));
    Add(fleet, "usable", IdleWorker());
    CPPUNIT_ASSERT(fleet.Choose("review", step, {}, NeverFull));
    step.required_label = "gpu";
    CPPUNIT_ASSERT(!fleet.Choose("review", step, {}, NeverFull));
    step.required_label.clear();
    step.need.cpu_millicores = 65000;
    CPPUNIT_ASSERT(!fleet.Choose("review", step, {}, NeverFull));
  }

  // Four fast backend servers with these amounts of queued work each, and a slow one that is
  // idle.
  static WorkerFleet Uneven(std::uint64_t queued_work, double slow_ratio = 1.82) {
    WorkerFleet fleet("a", 1.5, 1);
    WorkerState fast = IdleWorker();
    fast.run_time_ratio = 0.83;
    if (queued_work > 0) fast.free = {};
    fast.queued_work = queued_work;
    for (int i = 0; i < 4; ++i) Add(fleet, "fast-" + std::to_string(i), fast);
    WorkerState slow = IdleWorker();
    slow.run_time_ratio = slow_ratio;
    Add(fleet, "slow", slow);
    fleet.CompareSpeeds();
    return fleet;
  }

  // One backend server takes 2.2 times as long as its peers. Guards against tasks that are late
  // there while others are free, and against leaving it idle while the others have queues.
  void SlowerServersAreUsedWhenTheOthersAreFull() {
    const StepRequest step = SampleJob("j", 1).steps[0];
    WorkerFleet idle = Uneven(0);
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(idle.Choose("review", step, {}, NeverFull)->agent != "slow");
    }
    const std::uint64_t work = SampleWorker().total.cpu_millicores * 100;
    WorkerFleet full = Uneven(work);
    const auto choice = full.Choose("review", step, {}, NeverFull);
    CPPUNIT_ASSERT_EQUAL(std::string("slow"), choice->agent);
    CPPUNIT_ASSERT(choice->run_time > step.estimate * 2);
    // A long task ends sooner behind the queue of a fast one, and a job of it is not refused for
    // that queue, since there is room.
    StepRequest long_step = step;
    long_step.estimate = Ms(2000);
    const auto fast = full.Choose("review", long_step, {}, NeverFull);
    CPPUNIT_ASSERT(fast->agent != "slow");
    CPPUNIT_ASSERT(fast->start_delay > core::Duration::zero());
    CPPUNIT_ASSERT(fast->least_delay == core::Duration::zero());
  }

  // Guards against another placement in fleets whose speeds differ by up to 1.5.
  void SpeedsOfSimilarServersAreIgnored() {
    const StepRequest step = SampleJob("j", 1).steps[0];
    for (const double ratio : {0.56, 0.8, 1.24}) {
      WorkerFleet fleet = Uneven(0, ratio);
      const WorkerView& slow = fleet.Get("slow");
      CPPUNIT_ASSERT_EQUAL(1.0, slow.relative_run_time());
      CPPUNIT_ASSERT(slow.RunTime(step, 1.5) == step.estimate);
      CPPUNIT_ASSERT_EQUAL(slow.description().total.cpu_millicores, slow.EffectiveCpu());
      WorkerFleet queued = Uneven(100'000, ratio);
      const auto choice = queued.Choose("review", step, {"slow"}, NeverFull);
      CPPUNIT_ASSERT(choice->least_delay == choice->start_delay);
    }
  }

  // Guards against taking one odd backend server for the measure of the others.
  void SpeedsAreIgnoredWithFewOthersToCompareWith() {
    WorkerFleet fleet("a", 1.5, 1);
    WorkerState state = IdleWorker();
    for (int i = 0; i < 3; ++i) {
      state.run_time_ratio = i == 0 ? 3.0 : 1.0;
      Add(fleet, "agent-" + std::to_string(i), state);
    }
    fleet.CompareSpeeds();
    CPPUNIT_ASSERT_EQUAL(1.0, fleet.Get("agent-0").relative_run_time());
    Add(fleet, "agent-3", state);
    fleet.CompareSpeeds();
    CPPUNIT_ASSERT_EQUAL(3.0, fleet.Get("agent-0").relative_run_time());
  }

  // Agents of earlier versions report no speed. Guards against a speed that is kept after the
  // agent has stopped to report it, and against taking none for a high one.
  void ServersWithoutMeasuredSpeedCountAsAverage() {
    WorkerFleet fleet = Uneven(0);
    CPPUNIT_ASSERT(fleet.Get("slow").relative_run_time() > 2.0);
    Add(fleet, "slow", IdleWorker());
    fleet.CompareSpeeds();
    CPPUNIT_ASSERT_EQUAL(1.0, fleet.Get("slow").relative_run_time());
  }

  // Guards against withdrawing a task from the short queue of a fast backend server because a
  // slow one is free.
  void QueuedTasksDoNotMoveToSlowerServersThatEndLater() {
    const StepRequest step = SampleJob("j", 1).steps[0];
    const PlacementChoice slow{"slow", Ms(0), Ms(130), Ms(0), kStart};
    CPPUNIT_ASSERT(Uneven(64'000).EndsSoonerAt("fast-0", step, slow));
    CPPUNIT_ASSERT(!Uneven(64'000 * 100).EndsSoonerAt("fast-0", step, slow));
    // Between similar ones a free backend server is always the better one.
    const PlacementChoice similar{"fast-1", Ms(0), Ms(130), Ms(0), kStart};
    CPPUNIT_ASSERT(!Uneven(64'000).EndsSoonerAt("fast-0", step, similar));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerFleetTest);

}  // namespace
}  // namespace coltsfoottide::direct
