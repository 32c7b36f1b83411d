#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/entry_sink.h"
#include "coltsfoottide/direct/job_dispatcher.h"
#include "direct_samples.h"
#include "event_queue.h"
#include "simulated_server.h"

namespace coltsfoottide::direct {

// Entries, agents and backend servers in simulated time, connected all to all, under a
// steady load of three kinds of job, some of which have a task that crashes the
// backend server that starts it.
class SimulatedFleet {
 public:
  // A kind of job: one step of tasks of 6.2 cores.
  struct Kind {
    std::string route;
    std::uint32_t tasks = 0;
    core::Duration run_time{};
    // Jobs a second at all entries.
    double rate = 0;
  };
  struct Faults {
    // The kind with crashing tasks, and the share of its jobs that have one.
    std::size_t kind = 0;
    double share = 0;
    core::Duration from{};
    core::Duration until{};
  };
  // Differences between backend servers and between tasks.
  struct Variation {
    // Speed of each backend server, in turn; none: all 1.
    std::vector<double> speeds;
    // Largest relative error of the estimate of a step, either way.
    double estimate_error = 0;
    // Share of the tasks that take `long_factor` times as long.
    double long_share = 0;
    double long_factor = 7;
    // Whether agents report speeds; those of earlier versions do not.
    bool report_speed = true;
  };
  struct Job {
    std::size_t kind = 0;
    core::TimePoint submitted;
    core::TimePoint objective;
    bool crashing = false;
    std::optional<JobOutcome> outcome;
    core::TimePoint answered;
  };
  struct TaskHistory {
    std::vector<core::TimePoint> starts;
    std::vector<core::TimePoint> crashes;

    // Starts after the third crash.
    std::size_t LateStarts() const {
      if (crashes.size() < 3) return 0;
      return static_cast<std::size_t>(std::count_if(
          starts.begin(), starts.end(), [this](core::TimePoint it) { return it > crashes[2]; }));
    }
  };

  SimulatedFleet(std::size_t entries, std::size_t servers, std::vector<Kind> kinds,
                 const Faults& faults, std::uint64_t seed)
      : SimulatedFleet(entries, servers, std::move(kinds), faults, seed, Variation()) {}
  SimulatedFleet(std::size_t entries, std::size_t servers, std::vector<Kind> kinds,
                 const Faults& faults, std::uint64_t seed, Variation variation)
      : kinds_(std::move(kinds)),
        faults_(faults),
        variation_(std::move(variation)),
        random_(seed),
        task_seed_(seed),
        entries_(entries) {
    for (std::size_t i = 0; i < servers; ++i) {
      const std::vector<double>& speeds = variation_.speeds;
      AddServer("agent-" + std::to_string(i), speeds.empty() ? 1.0 : speeds[i % speeds.size()]);
    }
    for (std::size_t i = 0; i < entries; ++i) StartEntry(i);
    for (std::size_t i = 0; i < kinds_.size(); ++i) ScheduleNextJob(i);
    Tick();
    SendStates();
  }

  void Simulate(core::Duration length) { events_.RunUntil(events_.now() + length); }

  // The entry dies and is back half a second later. Its callers submit their jobs
  // again through another one.
  void KillEntry(std::size_t number) {
    constexpr core::Duration kDownTime = std::chrono::milliseconds(500);
    constexpr core::Duration kReturnDelay = std::chrono::milliseconds(1300);
    entries_[number].reset();
    events_.After(kDownTime, [this, number] { StartEntry(number); });
    for (const auto& [id, owner] : owners_) {
      if (owner != number || jobs_.at(id).outcome) continue;
      events_.After(kReturnDelay,
                    [this, id = id, number] { Submit(id, (number + 1) % entries_.size()); });
    }
  }

  // Submits one job besides the load, and again wherever it is said so.
  void AddJob(const std::string& id, std::size_t kind, bool crashing) {
    Job& job = jobs_[id];
    job.kind = kind;
    job.submitted = events_.now();
    job.objective = events_.now() + Objective(kinds_[kind]);
    job.crashing = crashing;
    if (crashing) crashing_tasks_.insert(TaskId{id, 0, PickIndex(kinds_[kind])});
  }
  void Submit(const std::string& id, std::size_t entry) {
    if (!entries_[entry]) return;
    const Job& job = jobs_.at(id);
    owners_[id] = entry;
    JobRequest request = SampleJob(id, kinds_[job.kind].tasks);
    request.route = kinds_[job.kind].route;
    request.steps.front().need.cpu_millicores = 6200;
    request.steps.front().estimate = Scale(
        kinds_[job.kind].run_time,
        1 + Draw(id + "/estimate") * 2 * variation_.estimate_error - variation_.estimate_error);
    request.objective = events_.now() + Objective(kinds_[job.kind]);
    request.useful_until = events_.now() + Objective(kinds_[job.kind]) * 3;
    request.deadline = events_.now() + Objective(kinds_[job.kind]) * 3 + Ms(1000);
    entries_[entry]->dispatcher.Submit(std::move(request), events_.now());
  }

  core::TimePoint now() const { return events_.now(); }
  const std::map<std::string, Job>& jobs() const { return jobs_; }
  const std::map<TaskId, TaskHistory>& tasks() const { return tasks_; }
  bool IsCrashing(const TaskId& task) const { return crashing_tasks_.contains(task); }
  std::size_t crashes() const { return crashes_; }
  // Share of the starts that were further ones of a task.
  double RestartShare() const {
    std::size_t starts = 0;
    for (const auto& [task, history] : tasks_) starts += history.starts.size();
    return 1.0 - static_cast<double>(tasks_.size()) / static_cast<double>(starts);
  }
  // Number of runs started at each agent.
  const std::map<std::string, std::size_t>& starts_by_agent() const { return starts_by_agent_; }

  // Crashes in this time of backend servers to which no entry confines the kind with
  // crashing tasks, while another entry confines it.
  std::size_t CrashesOutsideIsolation(core::Duration from, core::Duration until) const {
    return static_cast<std::size_t>(std::count_if(
        outside_.begin(), outside_.end(),
        [&](core::TimePoint it) { return it - kStart >= from && it - kStart < until; }));
  }

  // Most starts of a task that crashes its backend servers after three have crashed
  // under it.
  std::size_t MostLateStarts() const {
    std::size_t most = 0;
    for (const auto& [task, history] : tasks_) {
      if (IsCrashing(task)) most = std::max(most, history.LateStarts());
    }
    return most;
  }
  // Jobs without a crashing task that were answered as failed.
  std::size_t FalselyFailed() const {
    return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& it) {
      return !it.second.crashing && it.second.outcome &&
             it.second.outcome->kind == JobOutcome::Kind::kFailed;
    }));
  }
  // Jobs without a crashing task that were given up because of crashes, though fewer than
  // two backend servers had crashed under each of their tasks.
  std::size_t GivenUpEarly() const {
    return static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [this](const auto& it) {
          const Job& job = it.second;
          const bool given_up =
              job.outcome && job.outcome->reason.find("crash") != std::string::npos;
          return !job.crashing && given_up && MostCrashes(it.first) < 2;
        }));
  }
  // Share of the jobs of the kind without a crashing task, submitted in this time, that
  // ended by their objective.
  double InTimeShare(std::size_t kind, core::Duration from, core::Duration until) const {
    std::size_t all = 0;
    std::size_t in_time = 0;
    for (const auto& [id, job] : jobs_) {
      const core::Duration at = job.submitted - kStart;
      if (job.kind != kind || job.crashing || at < from || at >= until) continue;
      ++all;
      if (job.outcome && job.outcome->kind == JobOutcome::Kind::kCompleted &&
          job.answered <= job.objective) {
        ++in_time;
      }
    }
    return all == 0 ? 0.0 : static_cast<double>(in_time) / static_cast<double>(all);
  }

 private:
  static constexpr core::Duration kLinkTime = std::chrono::milliseconds(1);
  // From the start of an entry's process until the first agent connects to it, and from
  // one agent to the next.
  static constexpr core::Duration kConnectTime = std::chrono::milliseconds(100);
  static constexpr core::Duration kConnectInterval = std::chrono::milliseconds(3);
  static constexpr core::Duration kTickInterval = std::chrono::milliseconds(20);
  static constexpr core::Duration kStateInterval = std::chrono::milliseconds(100);

  // An entry's process: sends its decisions to the agents.
  struct Entry : EntrySink {
    Entry(SimulatedFleet& owner, std::size_t position, std::uint64_t process)
        : fleet(owner),
          number(position),
          name("entry-" + std::to_string(position) + '#' + std::to_string(process)),
          dispatcher({std::chrono::milliseconds(1800), process, 1, OverloadPolicy::kShared, true},
                     "a", 1.5, *this) {}

    void Answer(const std::string& job, const JobOutcome& outcome) override {
      Job& answered = fleet.jobs_.at(job);
      if (!answered.outcome) answered.answered = fleet.events_.now();
      answered.outcome = outcome;
    }
    void OnJobRemoved(const std::string& /*job*/,
                      const std::optional<JobOutcome>& /*outcome*/) override {}
    void OnClaimNeeded(JobRequest /*request*/, core::TimePoint /*now*/) override {}
    void SendOrder(const std::string& agent, const RunOrder& order) override {
      fleet.ToAgent(*this, agent, [order](RunExecutor& it, const std::string& from, auto now) {
        it.OnOrder(from, order, now);
      });
      ++orders_sent[agent];
    }
    void OnPlaced(const std::string& /*job*/, const std::vector<PlacedTask>& /*placed*/,
                  core::TimePoint /*now*/) override {}
    void SendStop(const std::string& agent, const RunId& id) override {
      fleet.ToAgent(*this, agent, [id](RunExecutor& it, const std::string& /*from*/, auto now) {
        it.OnStop(id, now);
      });
    }
    void SendWithdraw(const std::string& agent, const RunId& id) override {
      fleet.ToAgent(*this, agent, [id](RunExecutor& it, const std::string& from, auto now) {
        it.OnWithdraw(from, id, now);
      });
    }
    void SendExpedite(const std::string& agent, const RunId& id) override {
      fleet.ToAgent(*this, agent, [id](RunExecutor& it, const std::string& /*from*/, auto now) {
        it.OnExpedite(id, now);
      });
    }
    void OnRunTakenAsOver(const std::string& /*agent*/, const RunId& /*id*/,
                          const std::string& /*reason*/) override {}
    void OnCrashVerdict(const CrashVerdict& /*verdict*/, std::size_t /*crashes*/) override {}
    void OnCrashingRoute(const std::string& route) override {
      for (const auto& it : fleet.entries_) {
        if (!it || it.get() == this) continue;
        fleet.events_.After(kLinkTime, [&owner = fleet, peer = it->name, route] {
          const core::TimePoint now = owner.events_.now();
          Entry* entry = owner.FindEntry(peer);
          if (entry) entry->dispatcher.OnCrashingRoute(route, now, now);
        });
      }
    }
    void OnIsolationChanged(const std::string& route,
                            const std::set<std::string>& agents) override {
      if (route == fleet.kinds_[fleet.faults_.kind].route) confined_to = agents;
    }
    void SendClaim(const std::string& agent, const RunId& id, const Resources& need) override {
      fleet.ToAgent(*this, agent,
                    [id, need](RunExecutor& it, const std::string& from, auto /*now*/) {
                      it.OnClaim(from, id, need);
                    });
    }

    SimulatedFleet& fleet;
    std::size_t number;
    std::string name;
    JobDispatcher dispatcher;
    std::map<std::string, std::uint64_t> orders_sent;
    std::map<std::string, std::uint64_t> orders_seen;
    std::set<std::string> connected;
    // Agents of the kind with crashing tasks, none if it is not isolated.
    std::set<std::string> confined_to;
  };

  // Most crashes under one task of the job.
  std::size_t MostCrashes(const std::string& job) const {
    std::size_t most = 0;
    for (const auto& [task, history] : tasks_) {
      if (task.job == job) most = std::max(most, history.crashes.size());
    }
    return most;
  }

  static core::Duration Scale(core::Duration time, double factor) {
    return std::chrono::duration_cast<core::Duration>(time * factor);
  }
  // A number in [0, 1) that depends only on the name and the seed, so that a task is the same
  // wherever and whenever it runs.
  double Draw(const std::string& name) const {
    std::mt19937_64 random(task_seed_ ^ std::hash<std::string>{}(name));
    return std::uniform_real_distribution<double>(0, 1)(random);
  }
  core::Duration RunTime(const TaskId& task, double speed) const {
    const core::Duration run_time = kinds_[jobs_.at(task.job).kind].run_time;
    const bool is_long = Draw(task.job + '/' + std::to_string(task.index)) < variation_.long_share;
    return Scale(run_time, (is_long ? variation_.long_factor : 1.0) / speed);
  }
  WorkerState StateOf(const std::string& agent) const {
    WorkerState state = servers_.at(agent)->executor().State(events_.now());
    if (!variation_.report_speed) state.run_time_ratio = 0;
    return state;
  }

  static core::Duration Objective(const Kind& kind) { return kind.run_time * 16 / 10 + Ms(60); }

  std::uint32_t PickIndex(const Kind& kind) {
    return std::uniform_int_distribution<std::uint32_t>(0, kind.tasks - 1)(random_);
  }

  void AddServer(const std::string& agent, double speed) {
    SimulatedServer::Fleet callbacks;
    callbacks.is_crashing = [this](const TaskId& it) { return IsCrashing(it); };
    callbacks.run_time = [this, speed](const TaskId& it) { return RunTime(it, speed); };
    callbacks.on_report = [this, agent](const std::string& entry, const RunReport& report) {
      ToEntry(agent, entry, [agent, report](Entry& it, core::TimePoint now) {
        it.dispatcher.OnReport(agent, report, now);
      });
    };
    callbacks.on_crash_reported = [this, agent](const WorkerCrash& crash) {
      for (const auto& it : entries_) {
        if (!it) continue;
        ToEntry(agent, it->name, [agent, crash](Entry& entry, core::TimePoint now) {
          entry.dispatcher.OnWorkerCrash(agent, crash, now);
        });
      }
    };
    callbacks.on_start = [this, agent](const TaskId& task, core::TimePoint now) {
      tasks_[task].starts.push_back(now);
      ++starts_by_agent_[agent];
    };
    callbacks.on_crash = [this, agent](const std::vector<TaskId>& tasks, core::TimePoint now) {
      ++crashes_;
      if (IsOutsideIsolation(agent)) outside_.push_back(now);
      for (const TaskId& it : tasks) tasks_[it].crashes.push_back(now);
    };
    servers_[agent] = std::make_unique<SimulatedServer>(events_, std::move(callbacks));
  }

  bool IsOutsideIsolation(const std::string& agent) const {
    bool isolated = false;
    for (const auto& it : entries_) {
      if (!it || it->confined_to.empty()) continue;
      if (it->confined_to.contains(agent)) return false;
      isolated = true;
    }
    return isolated;
  }

  void StartEntry(std::size_t number) {
    entries_[number] = std::make_unique<Entry>(*this, number, ++processes_);
    Entry& entry = *entries_[number];
    const bool restarted = processes_ > entries_.size();
    for (const auto& it : entries_) {
      if (!it || it.get() == &entry) continue;
      for (const auto& [route, time] : it->dispatcher.IsolatedRoutes(events_.now())) {
        entry.dispatcher.OnPeerIsolation(route, time, events_.now());
      }
      for (const auto& [route, time] : it->dispatcher.RecentCrashingRoutes(events_.now())) {
        entry.dispatcher.OnCrashingRoute(route, time, events_.now());
      }
    }
    core::Duration delay = kConnectTime;
    for (const auto& [agent, server] : servers_) {
      if (!restarted) {
        Connect(entry, agent);
        continue;
      }
      events_.After(delay, [this, name = entry.name, agent = agent] {
        if (Entry* started = FindEntry(name)) Connect(*started, agent);
      });
      delay += kConnectInterval;
    }
  }

  void Connect(Entry& entry, const std::string& agent) {
    RunExecutor& executor = servers_.at(agent)->executor();
    executor.OnOwnerConfirmed(entry.name, events_.now());
    const auto& crashes = executor.recent_crashes();
    const AgentHello hello{agent,
                           1,
                           true,
                           executor.RunsFor(entry.name),
                           {crashes.begin(), crashes.end()},
                           SampleWorker(),
                           StateOf(agent)};
    entry.connected.insert(agent);
    entry.dispatcher.OnAgentHello(hello, events_.now());
  }

  Entry* FindEntry(const std::string& name) {
    for (const auto& it : entries_) {
      if (it && it->name == name) return it.get();
    }
    return nullptr;
  }

  template <typename Message>
  void ToAgent(const Entry& from, const std::string& agent, Message message) {
    events_.After(kLinkTime, [this, name = from.name, agent, message] {
      // What a process sent just before its death arrives.
      message(servers_.at(agent)->executor(), name, events_.now());
      if (Entry* entry = FindEntry(name)) entry->orders_seen[agent] = entry->orders_sent[agent];
    });
  }

  // Sends a message and the present state, as agents do.
  template <typename Message>
  void ToEntry(const std::string& agent, const std::string& name, Message message) {
    const Entry* sender = FindEntry(name);
    if (sender == nullptr || !sender->connected.contains(agent)) return;
    const auto seen = sender->orders_seen.find(agent);
    const std::uint64_t orders_seen = seen == sender->orders_seen.end() ? 0 : seen->second;
    events_.After(kLinkTime, [this, agent, name, message, orders_seen, state = StateOf(agent)] {
      Entry* entry = FindEntry(name);
      if (entry == nullptr) return;
      entry->dispatcher.OnWorkerState(agent, state, orders_seen, events_.now());
      message(*entry, events_.now());
    });
  }

  void Tick() {
    for (auto& [agent, server] : servers_) server->Advance();
    for (auto& it : entries_) {
      if (it) it->dispatcher.Advance(events_.now());
    }
    events_.After(kTickInterval, [this] { Tick(); });
  }

  void SendStates() {
    for (auto& [agent, server] : servers_) {
      for (auto& it : entries_) {
        if (!it) continue;
        server->executor().OnOwnerConfirmed(it->name, events_.now());
        ToEntry(agent, it->name, [](Entry& /*entry*/, core::TimePoint /*now*/) {});
      }
    }
    events_.After(kStateInterval, [this] { SendStates(); });
  }

  void ScheduleNextJob(std::size_t kind) {
    if (kinds_[kind].rate <= 0) return;
    const double seconds = std::exponential_distribution<double>(kinds_[kind].rate)(random_);
    events_.After(
        std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds)),
        [this, kind] {
          SubmitNextJob(kind);
          ScheduleNextJob(kind);
        });
  }

  void SubmitNextJob(std::size_t kind) {
    const core::Duration at = events_.now() - kStart;
    const bool faulty = kind == faults_.kind && at >= faults_.from && at < faults_.until;
    const bool crashing =
        faulty && std::uniform_real_distribution<double>(0, 1)(random_) < faults_.share;
    const std::string id = "job-" + std::to_string(next_job_++);
    AddJob(id, kind, crashing);
    const std::size_t first =
        std::uniform_int_distribution<std::size_t>(0, entries_.size() - 1)(random_);
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      const std::size_t entry = (first + i) % entries_.size();
      if (entries_[entry]) return Submit(id, entry);
    }
  }

  const std::vector<Kind> kinds_;
  const Faults faults_;
  const Variation variation_;
  std::mt19937_64 random_;
  const std::uint64_t task_seed_;
  EventQueue events_;
  std::map<std::string, std::unique_ptr<SimulatedServer>> servers_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::uint64_t processes_ = 0;
  std::uint64_t next_job_ = 0;
  std::map<std::string, Job> jobs_;
  std::map<std::string, std::size_t> owners_;
  std::set<TaskId> crashing_tasks_;
  std::map<TaskId, TaskHistory> tasks_;
  std::map<std::string, std::size_t> starts_by_agent_;
  std::size_t crashes_ = 0;
  std::vector<core::TimePoint> outside_;
};

}  // namespace coltsfoottide::direct
