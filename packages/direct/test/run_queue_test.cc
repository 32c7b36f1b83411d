#include "coltsfoottide/direct/run_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>
#include <utility>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

// What became of the runs of a simulated overload.
struct Served {
  int in_time = 0;
  int late = 0;
  int offered = 0;
};

// One backend server of ten slots, and a burst of 130% of what it can do for
// four seconds with calmer seconds around it. `take` returns the next order.
template <typename Add, typename Take>
Served PlayBurst(Add add, Take take) {
  constexpr int kSlots = 10;
  constexpr int kRunMs = 60;
  std::mt19937 random(7);  // NOLINT(cert-msc51-cpp)
  Served served;
  std::deque<std::pair<core::TimePoint, RunOrder>> running;
  double due = 0;
  for (int ms = 0; ms < 12000; ++ms) {
    const core::TimePoint now = kStart + Ms(ms);
    const bool burst = ms >= 3000 && ms < 7000;
    due += static_cast<double>(kSlots) / kRunMs * (burst ? 1.3 : 0.7);
    for (; due >= 1; due -= 1) {
      RunOrder order = SampleOrder("j", static_cast<std::uint32_t>(served.offered++));
      order.objective = now + Ms(150);
      order.useful_until = now + Ms(450);
      order.estimate = Ms(std::uniform_int_distribution<int>(40, 80)(random));
      add(order);
    }
    while (!running.empty() && running.front().first <= now) {
      const RunOrder& order = running.front().second;
      if (now <= order.objective) {
        ++served.in_time;
      } else if (now <= order.useful_until) {
        ++served.late;
      }
      running.pop_front();
    }
    while (running.size() < kSlots) {
      auto order = take(now);
      if (!order) break;
      running.emplace_back(now + Ms(kRunMs), std::move(*order));
    }
  }
  return served;
}

class RunQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunQueueTest);
  CPPUNIT_TEST(BurstLeavesMostRunsInTime);
  CPPUNIT_TEST(LateRunsGoBehindThoseInTime);
  CPPUNIT_TEST(ExpeditedRunsGoFirst);
  CPPUNIT_TEST(SmallRunsPassALargeOneOnlySoOften);
  CPPUNIT_TEST(RunsOfNoUseAreHandedBack);
  CPPUNIT_TEST(WorkIsCountedByWhetherItIsLate);
  CPPUNIT_TEST_SUITE_END();

  // A burst of 130% for four seconds. Guards against one backlog that makes
  // every later run late. Baseline: the order of arrival.
  void BurstLeavesMostRunsInTime() {
    RunQueue queue;
    const Served ordered = PlayBurst([&queue](const RunOrder& it) { queue.Add(it, "entry"); },
                                     [&queue](core::TimePoint now) -> std::optional<RunOrder> {
                                       queue.TakeExpired(now);
                                       auto item = queue.TakeNext({64000, 1024, 0}, now);
                                       if (!item) return std::nullopt;
                                       return item->order;
                                     });
    std::deque<RunOrder> arrival;
    const Served baseline = PlayBurst([&arrival](const RunOrder& it) { arrival.push_back(it); },
                                      [&arrival](core::TimePoint) -> std::optional<RunOrder> {
                                        if (arrival.empty()) return std::nullopt;
                                        RunOrder order = arrival.front();
                                        arrival.pop_front();
                                        return order;
                                      });
    CPPUNIT_ASSERT_EQUAL(baseline.offered, ordered.offered);
    // Nine tenths of the offered runs fit; four fifths of all are to be in
    // time, in spite of estimates that are off.
    CPPUNIT_ASSERT(ordered.in_time * 5 >= ordered.offered * 4);
    CPPUNIT_ASSERT(ordered.in_time > baseline.in_time * 5 / 4);
  }

  // Guards against late runs that take room from those that can be in time.
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
  // entries that count on the room that its runs take.
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

  // Guards against large tasks that never find room.
  void SmallRunsPassALargeOneOnlySoOften() {
    RunQueue queue;
    RunOrder large = SampleOrder("large", 0);
    large.need.cpu_millicores = 9000;
    large.objective = kStart + Ms(100);
    queue.Add(large, "entry");
    int passed = 0;
    for (std::uint32_t i = 0; i < 20; ++i) {
      queue.Add(SampleOrder("small", i), "entry");
      if (queue.TakeNext({7000, 1024, 0}, kStart)) ++passed;
    }
    CPPUNIT_ASSERT_EQUAL(6, passed);
    CPPUNIT_ASSERT_EQUAL(std::string("large"),
                         queue.TakeNext({9000, 1024, 0}, kStart)->order.id.task.job);
  }

  // Guards against room given to work whose result nobody uses.
  void RunsOfNoUseAreHandedBack() {
    RunQueue queue;
    queue.Add(SampleOrder("j", 0), "entry");
    CPPUNIT_ASSERT(queue.TakeExpired(kStart + Ms(400)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.TakeExpired(kStart + Ms(420)).size());
    CPPUNIT_ASSERT(queue.empty());
  }

  // Guards against late work that makes entries refuse what goes before it.
  void WorkIsCountedByWhetherItIsLate() {
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
