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
#include "coltsfoottide/direct/call_failure.h"
#include "coltsfoottide/direct/crash_reports.h"
#include "coltsfoottide/direct/granted_lease.h"
#include "coltsfoottide/direct/lease_renewal.h"
#include "coltsfoottide/direct/run_order.h"
#include "coltsfoottide/direct/run_queue.h"
#include "coltsfoottide/direct/run_report.h"
#include "coltsfoottide/direct/speed_estimate.h"
#include "coltsfoottide/direct/start_result.h"
#include "coltsfoottide/direct/worker_crash.h"
#include "coltsfoottide/direct/worker_health.h"
#include "coltsfoottide/direct/worker_report.h"
#include "coltsfoottide/direct/worker_state.h"

namespace coltsfoottide::direct {

class ReportSink;
class WorkerPort;

// Runs tasks on the agent's backend server for several entries: queues orders,
// tracks the free resources, renews the lease, and starts and keeps runs only
// while their entry confirms this agent's messages. Does no I/O.
class RunExecutor {
 public:
  struct Tuning {
    // Longest lease that the backend server grants.
    core::Duration lease;
    // Runs of an entry are neither started nor kept when it has confirmed nothing for
    // this long.
    core::Duration owner_lease;
    // No run goes on for longer than this after its owner's latest confirmation, whatever
    // happens to this agent meanwhile.
    core::Duration run_limit;
    // Order of queued runs.
    OverloadPolicy overload_policy = OverloadPolicy::kShared;
  };

  RunExecutor(const Tuning& tuning, WorkerPort& worker, ReportSink& reports);

  // Asks the backend server for runs of an earlier agent process.
  void Begin(core::TimePoint now);
  // Whether the backend server has listed the runs of an earlier agent process, or their lease
  // has ended.
  bool runs_known() const { return runs_known_; }

  // Takes over a report that is newer than the last one; returns whether it did. A report
  // does not prove that the present incarnation has ended, since it may be delayed or of
  // another writer. One of another incarnation is taken over only once the backend server's
  // answers show that the present one has ended.
  bool OnWorkerReport(const WorkerReport& report, core::TimePoint now);
  // The backend server has announced its shutdown.
  void OnWorkerShutdown(const std::string& id, core::TimePoint now);

  void OnOrder(const std::string& owner, RunOrder order, core::TimePoint now);
  void OnStop(const RunId& id, core::TimePoint now);
  void OnWithdraw(const std::string& owner, const RunId& id, core::TimePoint now);
  // Raises the priority of a queued run whose job is nearly done.
  void OnExpedite(const RunId& id, core::TimePoint now);
  // The entry claims a run of an earlier agent process, and says what it needs if it
  // can. The run has the id of the claim from then on.
  void OnClaim(const std::string& owner, const RunId& id, const std::optional<Resources>& need);

  // The data centres that are evacuated by the operator's records up to `position`, by the
  // view of an entry. A view with a lower position than the last one changes nothing. In an
  // evacuated data centre no run is started; the queued ones are reported as not run.
  void OnEvacuation(const std::set<std::string>& data_centres, std::uint64_t position,
                    core::TimePoint now);

  // The entry has confirmed a message that this agent sent at `sent`.
  void OnOwnerConfirmed(const std::string& owner, core::TimePoint sent);

  void OnStartResult(const RunId& id, StartResult result, core::TimePoint now);
  void OnStopResult(const RunId& id, bool answered, core::TimePoint now);
  // The answer to a lease renewal, the call that also lists runs. `failure` counts only without
  // a result.
  void OnLeaseRenewal(std::uint64_t renewal_number, const std::optional<LeaseRenewal>& result,
                      CallFailure failure, core::TimePoint now);

  // Starts no more runs and reports the queued ones as not run.
  void BeginDrain(core::TimePoint now);

  // Carries out due starts, stops and timeouts. Must be called every few tens
  // of milliseconds.
  void Advance(core::TimePoint now);

  // The last report that was taken over; nothing before the first one, and after the
  // incarnation that sent it has ended.
  const std::optional<WorkerReport>& worker_report() const { return worker_report_; }
  // The description in the last report, empty before the first one. The
  // reference is valid until the next report.
  const WorkerDescription& Description() const;
  // The present load; differs with nearly every call.
  WorkerState State(core::TimePoint now) const;
  // Runs to list in the hello to the owner: its own, those without an owner,
  // and those that ended recently.
  std::vector<RunReport> RunsFor(const std::string& owner) const;
  // Crashes of the last seconds with the runs of all owners, for the hello.
  const std::deque<WorkerCrash>& recent_crashes() const { return crashes_.recent(); }
  bool HasRunsOf(const std::string& owner) const;
  // How long ago this agent sent the latest message that the owner has confirmed; nothing
  // if it has confirmed none.
  std::optional<core::Duration> TimeSinceConfirmed(const std::string& owner,
                                                   core::TimePoint now) const;
  // Whether no run is queued, deferred or on the backend server.
  bool idle() const { return runs_.empty() && queue_.empty() && deferred_.empty(); }

 private:
  enum class RunState { kStarting, kRunning, kStopping };

  struct Run {
    RunOrder order;
    // The entry that ordered the run; empty for an unclaimed run of an earlier
    // agent process.
    std::string owner;
    RunState state = RunState::kStarting;
    core::TimePoint started_at;
    core::TimePoint stop_due;
    core::TimePoint reported_at;
    int percent = 0;
    // When the percentage was last seen.
    core::TimePoint listed_at;
    // When the percentage last rose.
    core::TimePoint progressed_at;
    // Number of renewal answers in a row that should have listed the run and did
    // not.
    int missing_from_answers = 0;
    bool stop_answered = false;
    // Whether the present incarnation of the backend server has listed the run
    // as running.
    bool listed = false;
    // Whether `order.need` is known; not before an entry has claimed a run of an earlier
    // agent process.
    bool need_known = true;
    // Whether the start was answered, or an earlier agent process started the run.
    bool confirmed = false;
    // Number of start calls that got no answer, and whether one is in progress.
    int unanswered_starts = 0;
    bool start_pending = false;
    // Whether copies of the start may still arrive at the backend server.
    bool MayStartLate() const { return unanswered_starts > 0 || start_pending; }
    // The incarnation that was present when the start was last sent, and the number of that call
    // in `lease_`.
    std::int64_t sent_to = 0;
    std::uint64_t lease_call = 0;
    // First lease renewal whose answer must list the run; earlier ones may lack
    // it.
    std::uint64_t visible_from_renewal = 0;
  };

  struct FinalReport {
    std::string owner;
    RunReport report;
    core::TimePoint time;
  };

  struct SentRenewal {
    core::TimePoint sent;
    // Time after which the answer counts as lost.
    core::TimePoint overdue;
    // Number of the call in `lease_`; 0 if it asks for no lease.
    std::uint64_t lease_call = 0;
  };

  // A stop for a run that has been reported as lost while copies of its start may still be
  // on their way.
  struct LateStop {
    core::TimePoint due;
    // Time after which no copy of the start can arrive.
    core::TimePoint until;
  };

  struct DeferredOrder {
    std::string owner;
    RunOrder order;
  };

  // Whether the report is newer than the last one. Incarnations are ordered by their time of
  // birth, except that any new one is later than one that has ended: the clock may have been
  // set back in between.
  bool IsNews(const WorkerReport& report) const;
  // Whether the report can only be of the present incarnation, or none is known to be there.
  bool NeedsNoProof(const WorkerReport& report) const;
  void TakeOver(const WorkerReport& report, core::TimePoint now);
  // Takes over or drops `unproven_report_` after an answer to the lease renewal with this
  // number.
  void DecideUnprovenReport(std::uint64_t renewal_number, core::TimePoint now);
  // Whether the owner has confirmed nothing for longer than its lease. It may then have
  // placed its runs elsewhere.
  bool IsSilent(const std::string& owner, core::TimePoint now) const;
  void DropOrdersOfSilentOwners(core::TimePoint now);
  // Until when the backend server's lease may be renewed; nothing without runs, while a run
  // has used up its limit or is unclaimed, or before the runs of an earlier agent process are
  // known.
  std::optional<core::TimePoint> LeaseEnd(core::TimePoint now) const;
  // Whether the lease that other runs have got goes beyond the limit of the owner's runs.
  bool LeaseExceedsLimit(const std::string& owner, core::TimePoint now) const;
  void StartQueued(core::TimePoint now);
  void Start(RunQueue::Item item, core::TimePoint now);
  void SendStart(Run& run, core::TimePoint now);
  void OnStartWithoutResources(Run& run, core::TimePoint now);
  void OnStartRefused(Run& run, core::TimePoint now);
  void StopRun(Run& run, core::TimePoint now);
  void EndRun(const RunId& id, RunReport::Kind kind, core::TimePoint now);
  void MarkAllRunsLost(core::TimePoint now);
  // The backend server has refused a connection, and gets no runs until it answers.
  void NoteRefusal(core::TimePoint now);
  // The same, once the runs that were not sent have been handed back. The others may go on until
  // their lease ends.
  void OnWorkerRefusing(core::TimePoint now);
  // The present incarnation of the backend server has ended.
  void OnWorkerGone(core::TimePoint now);
  // The lease of all runs has ended.
  void OnLeaseEnded(core::TimePoint now);
  // The incarnation has ended. Reports a crash, unless its end was announced.
  void ReportEnd(std::int64_t incarnation, core::TimePoint now);
  // Whether the backend server has announced that it leaves.
  bool IsLeaving() const;
  // The runs on the backend server, with the times that they had run when it was last known
  // to accept calls.
  std::vector<RunAtCrash> PresentRuns(core::TimePoint now) const;
  // Ends runs that only the earlier incarnation of the backend server can have;
  // stops those that the new one may have started or may start late.
  void AbandonIncarnation(core::TimePoint now);
  void ReportFinal(const std::string& owner, const RunReport& report, core::TimePoint now);
  void ReportNotRun(const std::vector<RunQueue::Item>& items, core::TimePoint now);
  // Reports all queued orders as not run. Deferred ones stay until the earlier run of their task
  // has ended: an entry would start the task elsewhere beside it.
  void HandBackQueue(core::TimePoint now);
  void SendDueRenewals(core::TimePoint now);
  void SendLateStops(core::TimePoint now);
  void OnUnansweredStart(Run& run, core::TimePoint now);
  void CheckWorkerResponsive(core::TimePoint now);
  void OnWorkerIncarnation(std::int64_t incarnation, core::TimePoint now);
  // Adds a run that an earlier agent process has started.
  void Adopt(const RunId& id, core::TimePoint now);
  // `adopt` is whether running ones that are not known are of an earlier agent process. Returns
  // all listed runs.
  std::set<RunId> ReadLists(const LeaseRenewal& lists, bool adopt, core::TimePoint now);
  void OnRenewalFailed(CallFailure failure, core::TimePoint now);
  void OnEnded(const EndedRun& ended, core::TimePoint now);
  void OnRunning(const RunningRun& running, core::TimePoint now);
  void EndUnlistedRuns(const std::set<RunId>& listed, core::TimePoint now);
  void ReportStraggler(Run& run, core::TimePoint now);
  // Whether the progress of the run has stopped.
  static bool IsStalled(const Run& run, core::TimePoint now);
  // Whether three quarters of the other runs of the backend server are behind as
  // well. A fault delays all; half would also be reached by tasks that take long in
  // themselves, which are over-represented among the runs in progress.
  bool OthersAreSlow(const Run& run, core::TimePoint now) const;
  bool IsEvacuated() const;
  bool AcceptsOrders() const;
  // Whether the order was placed for the present incarnation of the backend server. Another one
  // may be of another kind.
  bool IsForPresentIncarnation(const RunOrder& order) const;
  bool HasTask(const TaskId& task) const;
  // The run that a backend server lists by this task and number.
  std::map<RunId, Run>::iterator FindListed(const RunId& id);
  // Hands back earlier orders of the task that have not started: the caller has submitted
  // the job again.
  void HandBackOrdersOf(const TaskId& task, core::TimePoint now);
  Resources FreeResources() const;

  Tuning tuning_;
  WorkerPort& worker_;
  ReportSink& reports_;
  std::optional<WorkerReport> worker_report_;
  // The latest report of another incarnation, while the present one may still be there.
  std::optional<WorkerReport> unproven_report_;
  // The first lease renewal whose answer decides about `unproven_report_`.
  std::uint64_t deciding_renewal_ = 0;
  WorkerHealth health_;
  SpeedEstimate speed_;
  RunQueue queue_;
  std::map<RunId, Run> runs_;
  std::set<std::string> evacuated_;
  // Position in the operator's records of the view from which `evacuated_` is.
  std::uint64_t evacuation_position_ = 0;
  // Orders for tasks of which an earlier run is still being stopped.
  std::vector<DeferredOrder> deferred_;
  std::map<RunId, LateStop> late_stops_;
  // Ended runs of which copies of the start may still arrive, with the time after which none
  // can. The present incarnation refuses them; the next one has to be told.
  std::map<RunId, core::TimePoint> late_starts_;
  // When this agent sent the latest message that the owner has confirmed.
  std::map<std::string, core::TimePoint> confirmed_at_;
  std::deque<FinalReport> finals_;
  CrashReports crashes_;
  std::int64_t worker_incarnation_ = 0;
  // Incarnations before the present one, whose reports may arrive late.
  std::set<std::int64_t> earlier_incarnations_;
  // Whether the present incarnation is known to have ended.
  bool worker_gone_ = false;
  // Since when the backend server has refused connections without an answer to a lease renewal.
  std::optional<core::TimePoint> refusing_since_;
  // Number of the last ended run that was listed, and of the last that a lease
  // renewal has acknowledged.
  std::uint64_t ended_cursor_ = 0;
  std::uint64_t acknowledged_cursor_ = 0;
  // Number of the last lease renewal that was sent, and of the last that was
  // answered.
  std::uint64_t last_sent_renewal_ = 0;
  std::uint64_t last_answered_renewal_ = 0;
  // Number of the first lease renewal that was sent after the present incarnation had become
  // known. Results of earlier ones may be about an earlier incarnation.
  std::uint64_t first_renewal_of_incarnation_ = 0;
  // Whether an answer shows that the present incarnation is there and has received the
  // fencing token that is raised for it. Without it a lease renewal is sent though there
  // are no runs.
  bool incarnation_confirmed_ = true;
  // Unanswered lease renewals by number.
  std::map<std::uint64_t, SentRenewal> renewals_;
  // Until this time answers are expected to be lost, so lease renewals wait for
  // less time and two are sent at once.
  core::TimePoint lossy_until_;
  core::TimePoint renewal_due_;
  core::TimePoint last_answer_;
  GrantedLease lease_;
  core::TimePoint no_start_before_;
  core::TimePoint begun_at_;
  bool earlier_runs_pending_ = false;
  bool runs_known_ = false;
  // Whether the backend server takes work: it has reported since it last shut down or restarted,
  // has answered a lease renewal since it last refused a connection, and has reported or
  // answered one since it last stopped answering.
  bool worker_ready_ = false;
  bool worker_shut_down_ = false;
  bool draining_ = false;
};

}  // namespace coltsfoottide::direct
