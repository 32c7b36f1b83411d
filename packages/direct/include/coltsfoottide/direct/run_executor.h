#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/hold_result.h"
#include "coltsfoottide/direct/run_order.h"
#include "coltsfoottide/direct/run_queue.h"
#include "coltsfoottide/direct/run_report.h"
#include "coltsfoottide/direct/start_result.h"
#include "coltsfoottide/direct/worker_health.h"
#include "coltsfoottide/direct/worker_report.h"
#include "coltsfoottide/direct/worker_state.h"

namespace coltsfoottide::direct {

class ReportSink;
class WorkerPort;

// Runs tasks on the agent's backend server for several entries: keeps the
// queue and the room, renews the lease, and stops what a silent entry has
// ordered. No I/O.
class RunExecutor {
 public:
  struct Tuning {
    // Longest lease that the backend server grants.
    core::Duration lease;
    // Runs of an entry end when it has confirmed nothing for so long.
    core::Duration owner_lease;
  };

  RunExecutor(const Tuning& tuning, WorkerPort& worker, ReportSink& reports);

  // Asks a backend server that may hold runs of an earlier agent process.
  void Begin(core::TimePoint now);
  // Whether that question is answered, or the backend server is not there.
  bool runs_known() const { return runs_known_; }

  // Returns whether the report is news.
  bool OnWorkerReport(const WorkerReport& report, core::TimePoint now);
  // The backend server has said that it ends.
  void OnWorkerLeft(const std::string& id, core::TimePoint now);

  void OnOrder(const std::string& owner, RunOrder order, core::TimePoint now);
  void OnStop(const RunId& id, core::TimePoint now);
  void OnWithdraw(const std::string& owner, const RunId& id, core::TimePoint now);
  // Little work besides the run completes its job.
  void OnExpedite(const RunId& id, core::TimePoint now);
  // A run of an earlier agent process belongs to the entry.
  void OnClaim(const std::string& owner, const RunId& id);

  // The entry has confirmed what this agent sent at `sent`.
  void OnOwnerHeard(const std::string& owner, core::TimePoint sent);

  void OnStartResult(const RunId& id, StartResult result, core::TimePoint now);
  void OnStopResult(const RunId& id, bool answered, core::TimePoint now);
  // Without a result: `gone` is whether no process listens there.
  void OnHold(std::uint64_t round, const std::optional<HoldResult>& result, bool gone,
              core::TimePoint now);

  // No new runs; those in the queue are handed back.
  void BeginDrain(core::TimePoint now);

  // Carries out what is due. Must be called every few tens of milliseconds.
  void Advance(core::TimePoint now);

  // The last report's; empty before the first. Valid until the next report.
  const WorkerDescription& Description() const;
  // Changes with nearly every call.
  WorkerState State(core::TimePoint now) const;
  // Runs for the hello to the owner: its own, those without an owner, and
  // those that ended lately.
  std::vector<RunReport> RunsFor(const std::string& owner) const;
  bool HasRunsOf(const std::string& owner) const;
  // No run is queued or on the backend server.
  bool idle() const { return runs_.empty() && queue_.empty() && waiting_.empty(); }

 private:
  enum class RunState { kStarting, kRunning, kStopping };

  struct Run {
    RunOrder order;
    // Empty: of an earlier agent process and not claimed yet.
    std::string owner;
    RunState state = RunState::kStarting;
    core::TimePoint begun;
    core::TimePoint stop_due;
    core::TimePoint reported;
    int percent = 0;
    // When the percentage last rose.
    core::TimePoint progressed;
    // Holds whose answer should have listed the run and did not.
    int missed = 0;
    bool stop_answered = false;
    // The present life of the backend server has listed it as running.
    bool listed = false;
    // Orders to start that got no answer.
    int unanswered_starts = 0;
    // Answers to earlier holds may not list the run yet.
    std::uint64_t visible_from_hold = 0;
  };

  struct Final {
    std::string owner;
    RunReport report;
    core::TimePoint time;
  };

  struct SentHold {
    core::TimePoint sent;
    // Its answer should have come by then.
    core::TimePoint overdue;
  };

  struct WaitingOrder {
    std::string owner;
    RunOrder order;
  };

  void StartQueued(core::TimePoint now);
  void Start(RunQueue::Item item, core::TimePoint now);
  void StopRun(Run& run, core::TimePoint now);
  void EndRun(const RunId& id, RunReport::Kind kind, core::TimePoint now);
  void LoseAllRuns(core::TimePoint now);
  // Ends what only the earlier life of the backend server can have; stops what
  // the new one may have begun.
  void LeaveLife(core::TimePoint now);
  void ReportFinal(const std::string& owner, const RunReport& report, core::TimePoint now);
  void HandBack(const std::vector<RunQueue::Item>& items, core::TimePoint now);
  void MaybeHold(core::TimePoint now);
  void OnUnansweredStart(Run& run, core::TimePoint now);
  void CheckWorkerAnswers(core::TimePoint now);
  void OnLife(std::int64_t life, core::TimePoint now);
  void OnEnded(const EndedRun& ended, core::TimePoint now);
  void OnRunning(const RunningRun& running, core::TimePoint now);
  void CheckUnlisted(const std::set<RunId>& listed, core::TimePoint now);
  void ReportLaggard(Run& run, core::TimePoint now);
  bool TakesOrders() const;
  bool HasTask(const TaskId& task) const;
  Resources FreeRoom() const;

  Tuning tuning_;
  WorkerPort& worker_;
  ReportSink& reports_;
  std::optional<WorkerReport> worker_report_;
  WorkerHealth health_;
  RunQueue queue_;
  std::map<RunId, Run> runs_;
  // Orders for tasks of which an earlier run is still being stopped.
  std::vector<WaitingOrder> waiting_;
  std::map<std::string, core::TimePoint> owner_until_;
  std::deque<Final> finals_;
  std::int64_t life_ = 0;
  std::uint64_t ended_seen_ = 0;
  std::uint64_t acknowledged_ = 0;
  // Number of the last hold that was sent, and of the last that was answered.
  std::uint64_t hold_round_ = 0;
  std::uint64_t answered_round_ = 0;
  // Holds without an answer so far, by their numbers.
  std::map<std::uint64_t, SentHold> holds_;
  // Answers have been lost lately.
  core::TimePoint lossy_until_;
  core::TimePoint hold_due_;
  core::TimePoint last_answer_;
  core::TimePoint lease_until_;
  core::TimePoint no_start_before_;
  core::TimePoint begun_;
  bool begin_pending_ = false;
  bool runs_known_ = false;
  // The last call to the backend server was answered, or it has reported since.
  bool worker_ready_ = false;
  bool worker_left_ = false;
  bool draining_ = false;
};

}  // namespace coltsfoottide::direct
