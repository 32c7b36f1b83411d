#include "coltsfoottide/direct/run_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>
#include <utility>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

// Counts of the runs of a simulated overload.
struct BurstResult {
  int in_time = 0;
  int late = 0;
  int offered = 0;
};

// Simulates one backend server of ten slots under a load of 130% for four
// seconds, and of 70% before and after. `add` queues an order; `take` returns
// the next one to run.
template <typename Add, typename Take>
BurstResult SimulateBurst(Add add, Take take) {
  constexpr int kSlots = 10;
  constexpr int kRunMs = 60;
  std::mt19937 random(7);  // NOLINT(cert-msc51-cpp)
  BurstResult result;
  std::deque<std::pair<core::TimePoint, RunOrder>> running;
  double due = 0;
  for (int ms = 0; ms < 12000; ++ms) {
    const core::TimePoint now = kStart + Ms(ms);
    const bool burst = ms >= 3000 && ms < 7000;
    due += static_cast<double>(kSlots) / kRunMs * (burst ? 1.3 : 0.7);
    for (; due >= 1; due -= 1) {
      RunOrder order = SampleOrder("j", static_cast<std::uint32_t>(result.offered++));
      order.objective = now + Ms(150);
      order.useful_until = now + Ms(450);
      order.estimate = Ms(std::uniform_int_distribution<int>(40, 80)(random));
      add(order);
    }
    while (!running.empty() && running.front().first <= now) {
      const RunOrder& order = running.front().second;
      if (now <= order.objective) {
        ++result.in_time;
      } else if (now <= order.useful_until) {
        ++result.late;
      }
      running.pop_front();
    }
    while (running.size() < kSlots) {
      auto order = take(now);
      if (!order) break;
      running.emplace_back(now + Ms(kRunMs), std::move(*order));
    }
  }
  return result;
}

class RunQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunQueueTest);
  CPPUNIT_TEST(BurstLeavesMostRunsInTime);
  CPPUNIT_TEST(LateRunsGoBehindThoseInTime);
  CPPUNIT_TEST(ExpeditedRunsGoFirst);
  CPPUNIT_TEST(SmallRunsOvertakeALargeOneOnlySixTimes);
  CPPUNIT_TEST(ExpiredRunsAreRemoved);
  CPPUNIT_TEST(WorkIsCountedAsOnTimeOrLate);
  CPPUNIT_TEST_SUITE_END();

  // A load of 130% for four seconds. Guards against one backlog that makes
  // every later run late. Baseline: first come, first served.
  void BurstLeavesMostRunsInTime() {
    RunQueue queue;
    const BurstResult ordered =
        SimulateBurst([&queue](const RunOrder& it) { queue.Add(it, "entry"); },
                      [&queue](core::TimePoint now) -> std::optional<RunOrder> {
                        queue.TakeExpired(now);
                        auto item = queue.TakeNext({64000, 1024, 0}, now);
                        if (!item) return std::nullopt;
                        return item->order;
                      });
    std::deque<RunOrder> arrival;
    const BurstResult baseline =
        SimulateBurst([&arrival](const RunOrder& it) { arrival.push_back(it); },
                      [&arrival](core::TimePoint) -> std::optional<RunOrder> {
                        if (arrival.empty()) return std::nullopt;
                        RunOrder order = arrival.front();
                        arrival.pop_front();
                        return order;
                      });
    CPPUNIT_ASSERT_EQUAL(baseline.offered, ordered.offered);
    // Nine tenths of the offered runs can be served; four fifths of all must
    // end in time although estimates are off.
    CPPUNIT_ASSERT(ordered.in_time * 5 >= ordered.offered * 4);
    CPPUNIT_ASSERT(ordered.in_time > baseline.in_time * 5 / 4);
  }

  // Guards against late runs that take resources from those that can end in
  // time.
  void LateRunsGoBehindThoseInTime() {
    RunQueue queue;
    RunOrder late = SampleOrder("late", 0);
    late.objective = kStart + Ms(10);
    queue.Add(late, "entry");
    queue.Add(SampleOrder("fresh", 0), "entry");
    CPPUNIT_ASSERT_EQUAL(std::string("fresh"),
                         queue.TakeNext({64000, 1024, 0}, kStart)->order.id.task.job);
  }

  // Guards against a nearly done job that waits behind others, and against
  // entries that count on the resources that its runs will take.
  void ExpeditedRunsGoFirst() {
    RunQueue queue;
    queue.Add(SampleOrder("fresh", 0), "entry");
    RunOrder late = SampleOrder("late", 0);
    late.objective = kStart + Ms(10);
    queue.Add(late, "entry");
    queue.Expedite(late.id);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{720000}, queue.OnTimeWork(kStart));
    CPPUNIT_ASSERT_EQUAL(std::string("late"),
                         queue.TakeNext({64000, 1024, 0}, kStart)->order.id.task.job);
  }

  // Guards against starvation of large tasks.
  void SmallRunsOvertakeALargeOneOnlySixTimes() {
    RunQueue queue;
    RunOrder large = SampleOrder("large", 0);
    large.need.cpu_millicores = 9000;
    large.objective = kStart + Ms(100);
    queue.Add(large, "entry");
    int overtaken = 0;
    for (std::uint32_t i = 0; i < 20; ++i) {
      queue.Add(SampleOrder("small", i), "entry");
      if (queue.TakeNext({7000, 1024, 0}, kStart)) ++overtaken;
    }
    CPPUNIT_ASSERT_EQUAL(6, overtaken);
    CPPUNIT_ASSERT_EQUAL(std::string("large"),
                         queue.TakeNext({9000, 1024, 0}, kStart)->order.id.task.job);
  }

  // Guards against running tasks whose result is no longer of use.
  void ExpiredRunsAreRemoved() {
    RunQueue queue;
    queue.Add(SampleOrder("j", 0), "entry");
    CPPUNIT_ASSERT(queue.TakeExpired(kStart + Ms(400)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.TakeExpired(kStart + Ms(420)).size());
    CPPUNIT_ASSERT(queue.empty());
  }

  // Guards against late work that makes entries refuse jobs that would run
  // before it.
  void WorkIsCountedAsOnTimeOrLate() {
    RunQueue queue;
    queue.Add(SampleOrder("j", 0), "entry");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{360000}, queue.OnTimeWork(kStart));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, queue.OnTimeWork(kStart + Ms(100)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{360000}, queue.LateWork(kStart + Ms(100)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunQueueTest);

}  // namespace
}  // namespace coltsfoottide::direct
