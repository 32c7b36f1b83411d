#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <list>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "coltsfoottide/direct/run_queue.h"
#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

constexpr int kServers = 4;
constexpr int kSlots = 10;
constexpr int kRunMs = 50;
constexpr int kBurstMs = 6000;

// Simulates jobs of several tasks at 125% of the capacity of four backend
// servers of ten slots. Tasks are placed at random; a job counts as completed
// if its last task ends while the answer is of use.
class WideJobBurst {
 public:
  // `expedite`: whether to expedite the runs of a job of which a third or less
  // is left.
  explicit WideJobBurst(bool expedite) : expedite_(expedite) {}

  // Returns the number of jobs completed in useful time.
  int Simulate() {
    double due = 0;
    for (int ms = 0; ms < kBurstMs; ++ms) {
      const core::TimePoint now = kStart + Ms(ms);
      // 125% of the capacity, in tasks per millisecond.
      due += 1.25 * kServers * kSlots / kRunMs;
      while (due > 0) due -= Submit(now);
      for (Server& it : servers_) Step(it, now);
    }
    return completed_;
  }

 private:
  struct Server {
    RunQueue queue;
    std::list<std::pair<core::TimePoint, RunOrder>> running;
  };
  struct WideJob {
    int tasks = 0;
    int left = 0;
    std::map<std::uint32_t, Server*> places;
  };

  int Submit(core::TimePoint now) {
    const std::string id = std::to_string(jobs_.size());
    WideJob& job = jobs_[id];
    job.tasks = job.left = std::uniform_int_distribution<int>(2, 12)(random_);
    for (int i = 0; i < job.tasks; ++i) {
      RunOrder order = SampleOrder(id, static_cast<std::uint32_t>(i));
      order.estimate = Ms(kRunMs);
      order.objective = now + Ms(100);
      order.useful_until = now + Ms(300);
      Server& server =
          servers_.at(std::uniform_int_distribution<std::size_t>(0, kServers - 1)(random_));
      job.places[order.id.task.index] = &server;
      server.queue.Add(order, "entry");
    }
    return job.tasks;
  }

  void Step(Server& server, core::TimePoint now) {
    server.queue.TakeExpired(now);
    while (!server.running.empty() && server.running.front().first <= now) {
      OnDone(server.running.front().second, now);
      server.running.pop_front();
    }
    while (server.running.size() < kSlots) {
      auto item = server.queue.TakeNext({64000, 1024, 0}, now);
      if (!item) return;
      server.running.emplace_back(now + Ms(kRunMs), std::move(item->order));
    }
  }

  void OnDone(const RunOrder& order, core::TimePoint now) {
    WideJob& job = jobs_.at(order.id.task.job);
    job.places.erase(order.id.task.index);
    if (--job.left == 0 && now <= order.useful_until) ++completed_;
    if (!expedite_ || job.left * 3 > job.tasks) return;
    for (const auto& [index, server] : job.places) {
      server->queue.Expedite(RunId{TaskId{order.id.task.job, 0, index}, 1});
    }
  }

  const bool expedite_;
  std::mt19937 random_{11};  // NOLINT(cert-msc51-cpp)
  std::array<Server, kServers> servers_;
  std::map<std::string, WideJob> jobs_;
  int completed_ = 0;
};

class WideJobBurstTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WideJobBurstTest);
  CPPUNIT_TEST(ExpeditingLastRunsCompletesMoreJobs);
  CPPUNIT_TEST_SUITE_END();

  // Wide jobs at 125% of the capacity. Guards against jobs that fail because
  // one run stays queued behind later work. Baseline: the same queue, in which
  // the place of a run does not depend on the rest of its job.
  void ExpeditingLastRunsCompletesMoreJobs() {
    const int baseline = WideJobBurst(false).Simulate();
    const int expedited = WideJobBurst(true).Simulate();
    CPPUNIT_ASSERT(baseline > 0);
    CPPUNIT_ASSERT(expedited * 10 >= baseline * 11);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WideJobBurstTest);

}  // namespace
}  // namespace coltsfoottide::direct
