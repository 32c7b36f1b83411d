#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <list>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/cpu_work.h"
#include "coltsfoottide/direct/entry_sink.h"
#include "coltsfoottide/direct/job_dispatcher.h"
#include "coltsfoottide/direct/run_queue.h"
#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

constexpr int kServers = 8;
constexpr std::uint64_t kServerMillicores = 32'000;
// Interval of the agents' states.
constexpr int kStateMs = 20;

// A kind of job: tasks of 3.1 cores, objective 1.6 times the run time plus 60 ms.
struct JobKind {
  std::uint32_t tasks;
  std::int64_t run_ms;
  // Relative frequency.
  double rate;
};

constexpr std::array<JobKind, 3> kKinds = {{{8, 60, 34}, {4, 900, 6}, {2, 200, 85}}};

// Simulates one entry and its agents under a steady load of narrow, wide, short
// and long jobs.
class SustainedOverload : private EntrySink {
 public:
  // `load`: offered work as a share of the capacity.
  explicit SustainedOverload(double load)
      : load_(load),
        dispatcher_(JobDispatcher::Tuning{Ms(1800), 1}, "a", 1.5, static_cast<EntrySink&>(*this)) {
    for (int i = 0; i < kServers; ++i) {
      const std::string agent = "agent-" + std::to_string(i);
      servers_[agent];
      dispatcher_.OnAgentHello({agent, 1, true, {}}, kStart);
      WorkerDescription description = SampleWorker();
      description.total.cpu_millicores = kServerMillicores;
      dispatcher_.OnWorkerDescription(agent, description);
    }
  }

  void Simulate(std::chrono::milliseconds length) {
    for (int ms = 0; ms < length.count(); ++ms) {
      now_ = kStart + Ms(ms);
      if (ms % kStateMs == 0) {
        SendStates();
        dispatcher_.Advance(now_);
      }
      for (const JobKind& it : kKinds) SubmitDue(it);
      for (auto& [agent, server] : servers_) Step(agent, server);
      for (const auto& [agent, id] : std::exchange(withdrawn_, {})) {
        dispatcher_.OnReport(agent, {id, RunReport::Kind::kNotRun, {}}, now_);
      }
    }
  }

  // Share of the jobs of every kind that ended by their objective.
  double InTimeShare() const { return static_cast<double>(in_time_) / submitted_; }
  // Share of the jobs that were given up after some of their work had run.
  double WastedShare() const { return static_cast<double>(wasted_) / submitted_; }
  // Longest time from a submission to its refusal as not run.
  core::Duration LatestRefusal() const { return latest_refusal_; }

 private:
  struct Server {
    RunQueue queue;
    std::list<std::pair<core::TimePoint, RunOrder>> running;
    Resources free{kServerMillicores, 131072, 0};
    std::uint64_t orders = 0;
  };
  struct Submitted {
    core::TimePoint at;
    core::TimePoint objective;
  };

  static double WorkPerSecond() {
    double work = 0;
    for (const JobKind& it : kKinds) {
      work += it.rate * it.tasks * static_cast<double>(it.run_ms) * 3.1;
    }
    return work;
  }

  void SubmitDue(const JobKind& kind) {
    const double capacity = kServers * static_cast<double>(kServerMillicores);
    const double per_ms = kind.rate * load_ * capacity / WorkPerSecond() / 1000;
    if (std::uniform_real_distribution<double>(0, 1)(random_) >= per_ms) return;
    const std::string id = std::to_string(submitted_++);
    JobRequest job = SampleJob(id, kind.tasks);
    StepRequest& step = job.steps.front();
    step.need.cpu_millicores = 3100;
    // Estimates are off by up to 40%; the run time is that of the kind.
    run_times_[id] = Ms(kind.run_ms);
    step.estimate = Ms(kind.run_ms) * std::uniform_int_distribution<int>(60, 140)(random_) / 100;
    const core::Duration objective = Ms(kind.run_ms) * 16 / 10 + Ms(60);
    job.objective = now_ + objective;
    job.useful_until = now_ + objective * 3;
    job.deadline = now_ + Ms(6000);
    jobs_[id] = {now_, job.objective};
    dispatcher_.Submit(std::move(job), now_);
  }

  void SendStates() {
    for (auto& [agent, server] : servers_) {
      WorkerState state;
      state.ready = true;
      state.free = server.free;
      state.queued_work = server.queue.OnTimeWork(now_);
      state.late_work = server.queue.LateWork(now_);
      dispatcher_.OnWorkerState(agent, state, server.orders, now_);
    }
  }

  void Step(const std::string& agent, Server& server) {
    for (auto it = server.running.begin(); it != server.running.end();) {
      if (it->first > now_) {
        ++it;
        continue;
      }
      const RunOrder order = std::move(it->second);
      it = server.running.erase(it);
      server.free.cpu_millicores += order.need.cpu_millicores;
      server.free.memory_mb += order.need.memory_mb;
      dispatcher_.OnReport(agent, {order.id, RunReport::Kind::kDone, {}}, now_);
    }
    for (const RunQueue::Item& it : server.queue.TakeExpired(now_)) {
      dispatcher_.OnReport(agent, {it.order.id, RunReport::Kind::kNotRun, {}}, now_);
    }
    while (auto item = server.queue.TakeNext(server.free, now_)) {
      server.free.Subtract(item->order.need);
      const RunId id = item->order.id;
      server.running.emplace_back(now_ + run_times_.at(id.task.job), std::move(item->order));
      dispatcher_.OnReport(agent, {id, RunReport::Kind::kStarted, {}}, now_);
    }
  }

  void Answer(const std::string& job, const JobOutcome& outcome) override {
    using Kind = JobOutcome::Kind;
    const Submitted& submitted = jobs_.at(job);
    if (outcome.kind == Kind::kCompleted && now_ <= submitted.objective) ++in_time_;
    if (outcome.kind == Kind::kMayHaveRun) ++wasted_;
    if (outcome.kind == Kind::kNotRun) {
      latest_refusal_ = std::max(latest_refusal_, now_ - submitted.at);
    }
  }
  void OnJobRemoved(const std::string& /*job*/,
                    const std::optional<JobOutcome>& /*outcome*/) override {}
  void OnClaimNeeded(JobRequest /*request*/, core::TimePoint /*now*/) override {}
  void SendOrder(const std::string& agent, const RunOrder& order) override {
    Server& server = servers_.at(agent);
    ++server.orders;
    server.queue.Add(order, "entry");
  }
  void OnPlaced(const std::string& /*job*/, const std::vector<PlacedTask>& /*tasks*/,
                core::TimePoint /*now*/) override {}
  void SendStop(const std::string& agent, const RunId& id) override { Withdraw(agent, id); }
  void SendWithdraw(const std::string& agent, const RunId& id) override { Withdraw(agent, id); }
  void SendExpedite(const std::string& agent, const RunId& id) override {
    servers_.at(agent).queue.Expedite(id);
  }
  void OnRunTakenAsOver(const std::string& /*agent*/, const RunId& /*id*/,
                        const std::string& /*reason*/) override {}
  void OnCrashVerdict(const CrashVerdict& /*verdict*/, std::size_t /*crashes*/) override {}
  void OnCrashingRoute(const std::string& /*route*/) override {}
  void OnIsolationChanged(const std::string& /*route*/,
                          const std::set<std::string>& /*agents*/) override {}
  void SendClaim(const std::string& /*agent*/, const RunId& /*id*/,
                 const Resources& /*need*/) override {}

  // Runs that have started are left to end: their work is spent.
  void Withdraw(const std::string& agent, const RunId& id) {
    if (servers_.at(agent).queue.Remove(id)) withdrawn_.emplace_back(agent, id);
  }

  const double load_;
  std::mt19937 random_{7};  // NOLINT(cert-msc51-cpp)
  JobDispatcher dispatcher_;
  core::TimePoint now_ = kStart;
  std::map<std::string, Server> servers_;
  std::map<std::string, Submitted> jobs_;
  std::map<std::string, core::Duration> run_times_;
  std::vector<std::pair<std::string, RunId>> withdrawn_;
  int submitted_ = 0;
  int in_time_ = 0;
  int wasted_ = 0;
  core::Duration latest_refusal_{};
};

class SustainedOverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SustainedOverloadTest);
  CPPUNIT_TEST(MostOfTheCapacityServesJobsInTime);
  CPPUNIT_TEST(JobsBelowTheCapacityAreServed);
  CPPUNIT_TEST_SUITE_END();

  // 120% of the capacity for ten seconds. Guards against a standing queue that
  // makes nearly every job late, while the backend servers work on jobs that are
  // given up. Four fifths of what the capacity could serve is the target.
  void MostOfTheCapacityServesJobsInTime() {
    constexpr double kLoad = 1.2;
    SustainedOverload overload(kLoad);
    overload.Simulate(std::chrono::seconds(10));
    CPPUNIT_ASSERT(overload.InTimeShare() >= 0.8 / kLoad);
    CPPUNIT_ASSERT(overload.WastedShare() <= 0.05);
    // A job that cannot be served is refused at once; the entry learns of changes
    // once in the interval of the states.
    CPPUNIT_ASSERT(overload.LatestRefusal() <= Ms(kStateMs));
  }

  // Guards against refusals while the backend servers have room.
  void JobsBelowTheCapacityAreServed() {
    SustainedOverload overload(0.7);
    overload.Simulate(std::chrono::seconds(10));
    CPPUNIT_ASSERT(overload.InTimeShare() >= 0.97);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SustainedOverloadTest);

}  // namespace
}  // namespace coltsfoottide::direct
