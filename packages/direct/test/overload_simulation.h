#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/entry_sink.h"
#include "coltsfoottide/direct/job_dispatcher.h"
#include "coltsfoottide/direct/run_queue.h"
#include "direct_samples.h"

namespace coltsfoottide::direct {

// Entries and agents in simulated time, under loads of several kinds of job with
// priorities. States reach entries every 20 ms, orders and reports at once.
class OverloadSimulation {
 public:
  // A kind of job: one step; objective 1.6 times the run time plus 60 ms.
  struct Kind {
    std::uint32_t priority = 0;
    std::uint32_t tasks = 0;
    std::int64_t run_ms = 0;
    // Share of the work of all kinds.
    double share = 0;
  };
  struct Load {
    OverloadPolicy policy = OverloadPolicy::kShared;
    std::vector<Kind> kinds;
    std::uint64_t task_millicores = 5400;
    // Offered work as a share of the capacity, by kind and time in milliseconds.
    std::function<double(std::size_t kind, int ms)> offered;
    // Servers from 0 that are away at this time.
    std::function<int(int ms)> away = [](int) { return 0; };
    // Bounds of the estimate over the run time, in percent.
    int min_estimate = 60;
    int max_estimate = 140;
    // Every so many tasks takes `long_factor` times as long; 0: none.
    int long_every = 0;
    int long_factor = 7;
    // Whether the number of tasks of a job varies between half and twice that of
    // its kind.
    bool sizes_vary = true;
    std::uint32_t seed = 7;
    std::chrono::milliseconds length = std::chrono::seconds(10);
    // Jobs submitted before are not counted.
    std::chrono::milliseconds counted_from{0};
  };
  struct Count {
    int submitted = 0;
    int served = 0;
    // Completed after the objective, but while of use.
    int late = 0;
    int refused = 0;
    // Given up after a part has run.
    int wasted = 0;

    double ServedShare() const { return submitted == 0 ? 1.0 : Share(served); }
    double Share(int n) const { return static_cast<double>(n) / submitted; }
  };
  struct Result {
    // By kind: all jobs, and the largest tenth by number of tasks.
    std::vector<Count> all;
    std::vector<Count> largest;
    // Refusals by reason.
    std::map<std::string, int> reasons;
    // Refusals while half of the resources of the backend servers are free.
    int refused_beside_free = 0;
    // Longest time from a submission to its refusal.
    core::Duration latest_refusal{};
    // Share of the resources in use, over the whole time.
    double utilization = 0;
  };

  explicit OverloadSimulation(Load load) : load_(std::move(load)), random_(load_.seed) {
    result_.all.resize(load_.kinds.size());
    result_.largest.resize(load_.kinds.size());
    for (int i = 0; i < kServers; ++i) {
      servers_.push_back(std::make_unique<Server>(load_.policy));
    }
    for (int i = 0; i < kEntries; ++i) entries_.push_back(std::make_unique<Entry>(*this, i));
  }

  Result Simulate() {
    const auto drain = std::chrono::seconds(5);
    const auto length = load_.length.count();
    for (int ms = 0; ms < (load_.length + drain) / std::chrono::milliseconds(1); ++ms) {
      now_ = kStart + Ms(ms);
      SetAway(ms < length ? load_.away(ms) : 0);
      if (ms % kStateMs == 0) {
        for (auto& it : entries_) SendStates(*it);
        for (auto& it : entries_) it->dispatcher.Advance(now_);
      }
      for (std::size_t kind = 0; ms < length && kind < load_.kinds.size(); ++kind) {
        SubmitDue(kind, ms);
      }
      for (std::size_t i = 0; i < servers_.size(); ++i) Step(i);
      for (const auto& it : std::exchange(reports_, {})) {
        entries_.at(it.entry)->dispatcher.OnReport(it.agent, it.report, now_);
      }
      if (ms < length) in_use_ += InUse();
    }
    result_.utilization = in_use_ / static_cast<double>(length);
    return result_;
  }

 private:
  static constexpr int kServers = 8;
  static constexpr int kEntries = 2;
  static constexpr std::uint64_t kServerMillicores = 64'000;
  static constexpr int kStateMs = 20;

  struct Entry : public EntrySink {
    Entry(OverloadSimulation& owner, int number)
        : simulation(owner),
          name(std::to_string(number)),
          dispatcher(JobDispatcher::Tuning{Ms(1800), static_cast<std::uint64_t>(number) + 1, 1,
                                           owner.load_.policy},
                     "a", 1.5, static_cast<EntrySink&>(*this)) {
      for (int i = 0; i < kServers; ++i) {
        const std::string agent = std::to_string(i);
        dispatcher.OnAgentHello({agent, 1, true, {}}, kStart);
        dispatcher.OnWorkerDescription(agent, SampleWorker());
      }
    }

    void Answer(const std::string& job, const JobOutcome& outcome) override {
      simulation.OnAnswer(job, outcome);
    }
    void OnJobRemoved(const std::string& /*job*/,
                      const std::optional<JobOutcome>& /*outcome*/) override {}
    void OnClaimNeeded(JobRequest /*request*/, core::TimePoint /*now*/) override {}
    void SendOrder(const std::string& agent, const RunOrder& order) override {
      Server& server = simulation.ServerOf(agent);
      ++server.orders[name];
      if (server.away) return simulation.Report(agent, order.id, RunReport::Kind::kNotRun, name);
      server.queue.Add(order, name);
    }
    void OnPlaced(const std::string& /*job*/, const std::vector<PlacedTask>& /*tasks*/,
                  core::TimePoint /*now*/) override {}
    // Runs that have started are left to end: their work is spent.
    void SendStop(const std::string& agent, const RunId& id) override { SendWithdraw(agent, id); }
    void SendWithdraw(const std::string& agent, const RunId& id) override {
      if (simulation.ServerOf(agent).queue.Remove(id)) {
        simulation.Report(agent, id, RunReport::Kind::kNotRun, name);
      }
    }
    void SendExpedite(const std::string& agent, const RunId& id) override {
      simulation.ServerOf(agent).queue.Expedite(id);
    }
    void OnRunTakenAsOver(const std::string& /*agent*/, const RunId& /*id*/,
                          const std::string& /*reason*/) override {}
    void OnCrashVerdict(const CrashVerdict& /*verdict*/, std::size_t /*crashes*/) override {}
    void OnCrashingRoute(const std::string& /*route*/) override {}
    void OnIsolationChanged(const std::string& /*route*/,
                            const std::set<std::string>& /*agents*/) override {}
    void SendClaim(const std::string& /*agent*/, const RunId& /*id*/,
                   const Resources& /*need*/) override {}

    OverloadSimulation& simulation;
    std::string name;
    JobDispatcher dispatcher;
  };
  struct Running {
    core::TimePoint end;
    std::string owner;
    RunOrder order;
  };
  struct Server {
    explicit Server(OverloadPolicy policy) : queue(policy) {}

    RunQueue queue;
    std::list<Running> running;
    Resources free = SampleWorker().total;
    std::map<std::string, std::uint64_t> orders;
    bool away = false;
  };
  struct Job {
    std::size_t kind = 0;
    bool counted = false;
    bool large = false;
    core::TimePoint submitted;
    core::TimePoint objective;
  };
  struct PendingReport {
    std::size_t entry;
    std::string agent;
    RunReport report;
  };

  Server& ServerOf(const std::string& agent) { return *servers_.at(std::stoul(agent)); }

  void Report(const std::string& agent, const RunId& id, RunReport::Kind kind,
              const std::string& owner) {
    reports_.push_back({std::stoul(owner), agent, {id, kind, {}}});
  }

  double InUse() const {
    double used = 0;
    for (const auto& it : servers_) {
      used += 1 - static_cast<double>(it->free.cpu_millicores) / kServerMillicores;
    }
    return used / kServers;
  }

  // A backend server that goes away loses what it has.
  void SetAway(int n) {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      Server& server = *servers_[i];
      const bool away = static_cast<int>(i) < n;
      if (std::exchange(server.away, away) == away || !away) continue;
      const std::string agent = std::to_string(i);
      for (const Running& it : std::exchange(server.running, {})) {
        Report(agent, it.order.id, RunReport::Kind::kLost, it.owner);
      }
      for (const RunQueue::Item& it : server.queue.TakeAll()) {
        Report(agent, it.order.id, RunReport::Kind::kNotRun, it.owner);
      }
      server.free = SampleWorker().total;
    }
  }

  void SendStates(Entry& entry) {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      Server& server = *servers_[i];
      WorkerState state;
      state.ready = !server.away;
      state.free = server.free;
      state.queued_work = server.queue.OnTimeWork(now_);
      state.late_work = server.queue.LateWork(now_);
      if (load_.policy == OverloadPolicy::kPriority) {
        state.queued_by_priority = server.queue.OnTimeWorkByPriority(now_);
      }
      entry.dispatcher.OnWorkerState(std::to_string(i), state, server.orders[entry.name], now_);
    }
  }

  void SubmitDue(std::size_t number, int ms) {
    const Kind& kind = load_.kinds.at(number);
    const double capacity = kServers * static_cast<double>(kServerMillicores);
    // The mean of the numbers of tasks below.
    const double tasks = kind.tasks * (load_.sizes_vary ? 1.25 : 1.0);
    const double work = tasks * static_cast<double>(kind.run_ms * load_.task_millicores);
    const double rate = load_.offered(number, ms) * kind.share * capacity / work;
    int n = std::poisson_distribution<int>(rate)(random_);
    while (n-- > 0) Submit(number, ms);
  }

  void Submit(std::size_t number, int ms) {
    const Kind& kind = load_.kinds.at(number);
    const std::string id = std::to_string(jobs_.size());
    std::uint32_t tasks = kind.tasks;
    bool large = false;
    if (load_.sizes_vary) {
      const double size = std::uniform_real_distribution<double>(0.5, 2)(random_);
      tasks = static_cast<std::uint32_t>(std::max(1.0, kind.tasks * size + 0.5));
      large = size >= 1.85;
    }
    JobRequest job = SampleJob(id, tasks);
    job.priority = kind.priority;
    StepRequest& step = job.steps.front();
    step.need.cpu_millicores = load_.task_millicores;
    step.estimate =
        Ms(kind.run_ms) *
        std::uniform_int_distribution<int>(load_.min_estimate, load_.max_estimate)(random_) / 100;
    const core::Duration objective = Ms(kind.run_ms) * 16 / 10 + Ms(60);
    job.objective = now_ + objective;
    job.useful_until = now_ + objective * 3;
    job.deadline = now_ + std::max<core::Duration>(objective * 3, Ms(1500));
    jobs_[id] = {number, Ms(ms) >= load_.counted_from, large, now_, job.objective};
    CountOf(id, [](Count& it) { ++it.submitted; });
    const auto entry = std::uniform_int_distribution<std::size_t>(0, kEntries - 1)(random_);
    entries_.at(entry)->dispatcher.Submit(std::move(job), now_);
  }

  template <typename Change>
  void CountOf(const std::string& id, Change change) {
    const Job& job = jobs_.at(id);
    if (!job.counted) return;
    change(result_.all.at(job.kind));
    if (job.large) change(result_.largest.at(job.kind));
  }

  void Step(std::size_t number) {
    Server& server = *servers_.at(number);
    const std::string agent = std::to_string(number);
    for (auto it = server.running.begin(); it != server.running.end();) {
      if (it->end > now_) {
        ++it;
        continue;
      }
      server.free.cpu_millicores += it->order.need.cpu_millicores;
      server.free.memory_mb += it->order.need.memory_mb;
      Report(agent, it->order.id, RunReport::Kind::kDone, it->owner);
      it = server.running.erase(it);
    }
    for (const RunQueue::Item& it : server.queue.TakeExpired(now_)) {
      Report(agent, it.order.id, RunReport::Kind::kNotRun, it.owner);
    }
    while (auto item = server.queue.TakeNext(server.free, now_)) {
      server.free.Subtract(item->order.need);
      Report(agent, item->order.id, RunReport::Kind::kStarted, item->owner);
      server.running.push_back(
          {now_ + RunTime(item->order.id), std::move(item->owner), std::move(item->order)});
    }
  }

  core::Duration RunTime(const RunId& id) {
    const Kind& kind = load_.kinds.at(jobs_.at(id.task.job).kind);
    const bool is_long = load_.long_every > 0 && ++started_ % load_.long_every == 0;
    return Ms(kind.run_ms) * (is_long ? load_.long_factor : 1);
  }

  void OnAnswer(const std::string& id, const JobOutcome& outcome) {
    using Kind = JobOutcome::Kind;
    const Job& job = jobs_.at(id);
    const bool in_time = now_ <= job.objective;
    CountOf(id, [&](Count& it) {
      if (outcome.kind == Kind::kCompleted) ++(in_time ? it.served : it.late);
      if (outcome.kind == Kind::kNotRun) ++it.refused;
      if (outcome.kind == Kind::kMayHaveRun) ++it.wasted;
    });
    if (outcome.kind == Kind::kCompleted || !job.counted) return;
    ++result_.reasons[outcome.reason];
    if (outcome.kind != Kind::kNotRun) return;
    result_.latest_refusal = std::max(result_.latest_refusal, now_ - job.submitted);
    constexpr double kHalf = 0.5;
    if (InUse() < kHalf) ++result_.refused_beside_free;
  }

  const Load load_;
  std::mt19937 random_;
  core::TimePoint now_ = kStart;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::map<std::string, Job> jobs_;
  std::vector<PendingReport> reports_;
  Result result_;
  int started_ = 0;
  double in_use_ = 0;
};

}  // namespace coltsfoottide::direct
