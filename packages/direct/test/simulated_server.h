#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/report_sink.h"
#include "coltsfoottide/direct/run_executor.h"
#include "coltsfoottide/direct/worker_port.h"
#include "direct_samples.h"
#include "event_queue.h"

namespace coltsfoottide::direct {

// A backend server in simulated time and its agent. Tasks that the fleet declares
// crashing crash it some milliseconds after they have started; it is back seconds
// later as a new incarnation.
class SimulatedServer : private WorkerPort, private ReportSink {
 public:
  // What the fleet tells the server and learns from it.
  struct Fleet {
    std::function<bool(const TaskId&)> is_crashing;
    std::function<core::Duration(const TaskId&)> run_time;
    std::function<void(const std::string& entry, const RunReport&)> on_report;
    std::function<void(const WorkerCrash&)> on_crash_reported;
    std::function<void(const TaskId&, core::TimePoint)> on_start;
    // All tasks that ran at the crash.
    std::function<void(const std::vector<TaskId>&, core::TimePoint)> on_crash;
  };

  static constexpr core::Duration kCrashDelay = std::chrono::milliseconds(10);
  static constexpr core::Duration kDownTime = std::chrono::milliseconds(3300);

  SimulatedServer(EventQueue& events, Fleet fleet)
      : events_(events),
        fleet_(std::move(fleet)),
        executor_({Ms(1000), Ms(700), Ms(1200)}, *this, *this) {
    executor_.Begin(events_.now());
    SendReport();
  }

  RunExecutor& executor() { return executor_; }
  bool down() const { return down_; }

  void Advance() { executor_.Advance(events_.now()); }

  // Reports itself to its agent.
  void SendReport() {
    if (down_) return;
    WorkerReport report = SampleReport(++sequence_);
    report.incarnation = incarnation_;
    report.description = SampleWorker();
    executor_.OnWorkerReport(report, events_.now());
  }

 private:
  static constexpr core::Duration kCallTime = std::chrono::milliseconds(1);

  struct Running {
    RunId id;
    core::TimePoint start;
    core::TimePoint end;
  };
  struct Hold {
    std::uint64_t number = 0;
    std::uint64_t cursor = 0;
  };

  // WorkerPort
  void UseIncarnation(const WorkerReport& /*report*/) override {}
  void StartRun(const RunOrder& order, core::TimePoint /*lease_end*/,
                core::Duration /*timeout*/) override {
    events_.After(kCallTime, [this, id = order.id] { Start(id); });
  }
  void StopRun(const RunId& id) override {
    events_.After(kCallTime, [this, id] {
      if (!down_) End(id, std::nullopt);
      executor_.OnStopResult(id, !down_, events_.now());
    });
  }
  void RenewLease(std::uint64_t renewal_number, std::uint64_t ended_cursor,
                  std::optional<core::TimePoint> /*lease_end*/, core::Duration wait) override {
    events_.After(kCallTime, [this, renewal_number, ended_cursor, wait] {
      if (down_) {
        return executor_.OnLeaseRenewal(renewal_number, std::nullopt, CallFailure::kRefused,
                                        events_.now());
      }
      holds_.push_back({renewal_number, ended_cursor});
      std::erase_if(ended_, [&](const EndedRun& it) { return it.number <= ended_cursor; });
      if (!ended_.empty() || wait == core::Duration::zero()) return AnswerHolds();
      events_.After(wait, [this, renewal_number] {
        const bool waits = std::any_of(holds_.begin(), holds_.end(),
                                       [&](const Hold& it) { return it.number == renewal_number; });
        if (waits) AnswerHolds();
      });
    });
  }

  // ReportSink
  void Report(const std::string& owner, const RunReport& report) override {
    fleet_.on_report(owner, report);
  }
  void ReportCrash(const WorkerCrash& crash) override { fleet_.on_crash_reported(crash); }
  void OnReportRefuted(const WorkerReport& /*report*/) override {}

  void Start(const RunId& id) {
    if (down_) {
      return executor_.OnStartResult(id, StartResult::kRefused, events_.now());
    }
    const core::Duration run_time = fleet_.run_time(id.task);
    running_.push_back({id, events_.now(), events_.now() + run_time});
    fleet_.on_start(id.task, events_.now());
    const std::int64_t incarnation = incarnation_;
    if (fleet_.is_crashing(id.task)) {
      events_.After(kCrashDelay, [this, incarnation] { Crash(incarnation); });
    } else {
      events_.After(run_time, [this, id, incarnation] {
        if (incarnation == incarnation_ && !down_) End(id, EndedRun::Outcome::kDone);
      });
    }
    executor_.OnStartResult(id, StartResult::kStarted, events_.now());
  }

  // Without an outcome the run was stopped.
  void End(const RunId& id, std::optional<EndedRun::Outcome> outcome) {
    const auto it = std::find_if(running_.begin(), running_.end(),
                                 [&id](const Running& run) { return run.id == id; });
    if (it == running_.end()) return;
    running_.erase(it);
    ended_.push_back({++last_end_, id.AsListed(), outcome.value_or(EndedRun::Outcome::kOther)});
    AnswerHolds();
  }

  void AnswerHolds() {
    LeaseRenewal answer;
    answer.incarnation = incarnation_;
    for (const Running& it : running_) {
      const auto part = (events_.now() - it.start) * 100 / (it.end - it.start);
      answer.running.push_back(
          {it.id.AsListed(), static_cast<int>(std::min<std::int64_t>(part, 99))});
    }
    answer.ended = ended_;
    for (const Hold& it : std::exchange(holds_, {})) {
      events_.After(kCallTime, [this, answer, number = it.number] {
        executor_.OnLeaseRenewal(number, answer, CallFailure::kNoAnswer, events_.now());
      });
    }
  }

  void Crash(std::int64_t incarnation) {
    if (down_ || incarnation != incarnation_) return;
    down_ = true;
    std::vector<TaskId> tasks;
    for (const Running& it : std::exchange(running_, {})) tasks.push_back(it.id.task);
    fleet_.on_crash(tasks, events_.now());
    ended_.clear();
    for (const Hold& it : std::exchange(holds_, {})) {
      executor_.OnLeaseRenewal(it.number, std::nullopt, CallFailure::kNoAnswer, events_.now());
    }
    events_.After(kDownTime, [this] {
      down_ = false;
      ++incarnation_;
      sequence_ = 0;
      last_end_ = 0;
      SendReport();
    });
  }

  EventQueue& events_;
  Fleet fleet_;
  RunExecutor executor_;
  std::vector<Running> running_;
  std::vector<EndedRun> ended_;
  std::vector<Hold> holds_;
  std::uint64_t last_end_ = 0;
  std::uint64_t sequence_ = 0;
  std::int64_t incarnation_ = 1;
  bool down_ = false;
};

}  // namespace coltsfoottide::direct
