#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

#include "answer_store.h"
#include "coltsfoottide/core/placement.h"
#include "job_graph.h"
#include "load_view.h"
#include "retry_budget.h"
#include "run_time_model.h"
#include "ticket_window.h"

namespace coltsfoottide::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::seconds(1000)};

class CoordinatorModulesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinatorModulesTest);
  CPPUNIT_TEST(TicketIsUsedAtMostOnce);
  CPPUNIT_TEST(UnusedTicketsExpireAndUsedOnesStay);
  CPPUNIT_TEST(GraphRespectsDependencies);
  CPPUNIT_TEST(LongestPathComesFirst);
  CPPUNIT_TEST(RunTimesAreLearnedAndBounded);
  CPPUNIT_TEST(RetriesAreBounded);
  CPPUNIT_TEST(AnswersAreBounded);
  CPPUNIT_TEST(OwnStartsCountUntilTheWorkerReportsThem);
  CPPUNIT_TEST(HybridPrefersFreeSlotsInOwnDataCentre);
  CPPUNIT_TEST(HybridLeavesASlotToUrgentTasks);
  CPPUNIT_TEST_SUITE_END();

  // Guards against two jobs from one ticket under any order of uses, refusals,
  // moves and expiries.
  void TicketIsUsedAtMostOnce() {
    CPPUNIT_ASSERT(rc::check("one use", [](const std::vector<std::uint8_t>& steps) {
      TicketWindow window(8, seconds(600));
      std::set<std::uint64_t> spent_tickets;
      TimePoint now = kNow;
      for (const std::uint8_t step : steps) {
        const std::uint64_t sequence = 1 + step / 8 % 16;
        now += seconds(step);
        bool spent = false;
        switch (step % 5) {
          case 0:
            spent = window.Use(sequence);
            break;
          case 1:
            spent = window.Refuse(sequence, {});
            break;
          case 2:
            spent = window.Move(sequence, {});
            break;
          case 3:
            window.Retire(sequence);
            break;
          default:
            window.Expire(now);
            window.Issue(3, now);
        }
        const bool first = !spent || spent_tickets.insert(sequence).second;
        RC_ASSERT(first);
        RC_ASSERT(window.size() <= 8U);
      }
    }));
  }

  void UnusedTicketsExpireAndUsedOnesStay() {
    TicketWindow window(3, seconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, window.Issue(5, kNow).size());
    window.Use(2);
    CPPUNIT_ASSERT(window.NextExpiry() == kNow + seconds(600));
    window.Expire(kNow + seconds(600));
    CPPUNIT_ASSERT(window.StateOf(1) == TicketWindow::State::kRetired);
    CPPUNIT_ASSERT(window.StateOf(2) == TicketWindow::State::kUsed);
    CPPUNIT_ASSERT(window.StateOf(4) == TicketWindow::State::kNeverIssued);
    CPPUNIT_ASSERT(window.NextExpiry() == TimePoint::max());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, window.Issue(1, kNow).front());
  }

  // Guards against a task that becomes ready before its dependencies are done,
  // twice or never.
  void GraphRespectsDependencies() {
    CPPUNIT_ASSERT(rc::check("dependency order", [](const std::vector<std::uint8_t>& draws) {
      api::JobSpec job;
      for (std::size_t index = 0; index < draws.size(); ++index) {
        api::TaskSpec* task = job.add_tasks();
        for (std::size_t n = 0; index > 0 && n < draws[index] % 3U; ++n) {
          task->add_depends_on(static_cast<std::uint32_t>((draws[index] / 3 + n) % index));
        }
      }
      JobGraph graph(job, [](const api::TaskSpec&) { return Duration(1); });
      std::vector<std::uint32_t> ready = graph.Roots();
      std::set<std::uint32_t> done;
      while (!ready.empty()) {
        const std::uint32_t index = ready.back();
        ready.pop_back();
        for (const auto dependency : job.tasks(static_cast<int>(index)).depends_on()) {
          RC_ASSERT(done.contains(dependency));
          RC_ASSERT(graph.Remaining(dependency) > graph.Remaining(index));
        }
        const bool first = done.insert(index).second;
        RC_ASSERT(first);
        for (const auto next : graph.Finish(index)) {
          ready.push_back(next);
        }
      }
      RC_ASSERT(graph.done());
      RC_ASSERT(done.size() == draws.size());
    }));
  }

  void LongestPathComesFirst() {
    api::JobSpec job;
    for (const std::uint32_t ms : {300, 100, 250}) {
      job.add_tasks()->set_declared_ms(ms);
    }
    job.mutable_tasks(2)->add_depends_on(1);
    const JobGraph graph(
        job, [](const api::TaskSpec& task) { return Duration(milliseconds(task.declared_ms())); });
    CPPUNIT_ASSERT(graph.Roots() == (std::vector<std::uint32_t>{1, 0}));
    CPPUNIT_ASSERT(graph.CriticalPath() == milliseconds(350));
  }

  // Guards against estimates that stay at a wrong declared run time, and against
  // unbounded memory, since callers choose the task kinds.
  void RunTimesAreLearnedAndBounded() {
    RunTimeModel model;
    for (int n = 0; n < 8; ++n) {
      CPPUNIT_ASSERT(model.Get("s", "k", seconds(9)).mean == seconds(9));
      model.Add("s", "k", milliseconds(100 + n));
    }
    const auto estimate = model.Get("s", "k", seconds(9));
    CPPUNIT_ASSERT(estimate.learned && estimate.low == milliseconds(100));
    CPPUNIT_ASSERT(estimate.mean > milliseconds(100) && estimate.mean < milliseconds(107));
    CPPUNIT_ASSERT(estimate.high == milliseconds(107));
    for (int n = 0; n < 2000; ++n) {
      model.Add("s", "kind-" + std::to_string(n), milliseconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1024}, model.size());
  }

  void RetriesAreBounded() {
    RetryBudget budget;
    const auto take = [&budget](TimePoint now) {
      int taken = 0;
      while (budget.TryRetry(now)) {
        ++taken;
      }
      return taken;
    };
    CPPUNIT_ASSERT_EQUAL(10, take(kNow));
    for (int n = 0; n < 100; ++n) {
      budget.OnStart(kNow + seconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(10, take(kNow + seconds(1)));
    CPPUNIT_ASSERT_EQUAL(10, take(kNow + seconds(20)));
  }

  void AnswersAreBounded() {
    AnswerStore store(4000);
    std::size_t dropped = 0;
    for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
      dropped += store.Add(sequence, {{}, 0, kNow + seconds(sequence)}).size();
      CPPUNIT_ASSERT(store.bytes() <= 4000);
    }
    CPPUNIT_ASSERT(dropped > 0 && store.Find(1) == nullptr && store.Find(20) != nullptr);
    CPPUNIT_ASSERT_EQUAL(20 - dropped, store.Expire(seconds(60), kNow + seconds(80)).size());
    CPPUNIT_ASSERT(store.empty() && store.bytes() == 0);
  }

  // Guards against more starts than free slots between two load reports of a
  // worker, also when a report was sent before a start arrived.
  void OwnStartsCountUntilTheWorkerReportsThem() {
    LoadView view;
    api::WorkerInfo info;
    info.set_endpoint("w");
    info.set_service("s");
    view.SetCandidate(info);
    view.SetReachable("w", true);
    view.SetRoundTrip("w", milliseconds(3));
    wire::Load load;
    load.set_slots(2);
    load.set_accepting(true);
    load.set_version(1);
    view.Update("w", load, kNow);
    view.OnStart("w", kNow);
    view.OnStart("w", kNow + milliseconds(2));
    CPPUNIT_ASSERT(!view.AnyFree("s", api::URGENT, kNow + milliseconds(2)));
    load.set_version(2);
    load.set_busy(1);
    // Sent after the first start arrived, but before the second.
    view.Update("w", load, kNow + milliseconds(4));
    CPPUNIT_ASSERT_EQUAL(0, view.Eligible("s", {}, kNow + milliseconds(4))[0].free_slots);
    load.set_version(1);
    load.set_busy(0);
    view.Update("w", load, kNow + milliseconds(9));
    CPPUNIT_ASSERT_EQUAL(0, view.Eligible("s", {}, kNow + milliseconds(9))[0].free_slots);
  }

  static WorkerView MakeView(const std::string& endpoint, const std::string& data_centre,
                             int free_slots) {
    return {endpoint, data_centre, "", free_slots, 8, 0, {}};
  }

  void HybridPrefersFreeSlotsInOwnDataCentre() {
    const auto placement = MakeHybridPlacement(1);
    std::vector<WorkerView> views = {MakeView("near", "a", 1), MakeView("far", "b", 3)};
    const auto start = [&](const std::vector<std::string>& tried) {
      return placement->Place(views, "a", api::URGENT, tried, kNow).start;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("near"), start({}));
    CPPUNIT_ASSERT_EQUAL(std::string("far"), start({"near"}));
    CPPUNIT_ASSERT_EQUAL(std::string(), start({"near", "far"}));
    // An old report of a free slot gets no preference for the own data centre.
    views[0].report_age = seconds(2);
    CPPUNIT_ASSERT_EQUAL(std::string("far"), start({}));
  }

  void HybridLeavesASlotToUrgentTasks() {
    const auto placement = MakeHybridPlacement(1);
    const std::vector<WorkerView> views = {MakeView("w", "a", 1)};
    const auto bulk = placement->Place(views, "a", api::BULK, {}, kNow);
    CPPUNIT_ASSERT(bulk.start.empty() && bulk.reserve.size() == 1);
    CPPUNIT_ASSERT_EQUAL(std::string("w"),
                         placement->Place(views, "a", api::URGENT, {}, kNow).start);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorModulesTest);

}  // namespace
}  // namespace coltsfoottide::core
