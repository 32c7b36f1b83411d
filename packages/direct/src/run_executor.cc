#include "coltsfoottide/direct/run_executor.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "coltsfoottide/direct/report_sink.h"
#include "coltsfoottide/direct/slowness.h"
#include "coltsfoottide/direct/time_bounds.h"
#include "coltsfoottide/direct/worker_port.h"

namespace coltsfoottide::direct {

namespace {

// Longest wait of a lease renewal, and so the interval at which the progress of
// runs is checked.
constexpr core::Duration kRenewalWait = std::chrono::milliseconds(50);
// A further lease renewal is sent when the answer to one is overdue by this
// time, because a lost answer hides the ends of all runs.
constexpr core::Duration kRenewalGrace = std::chrono::milliseconds(25);
// Longest wait of a lease renewal while answers are being lost: until the next
// answer no end is seen and no resources become free.
constexpr core::Duration kLossyRenewalWait = std::chrono::milliseconds(10);
// The same as kRenewalGrace, while answers are being lost.
constexpr core::Duration kLossyRenewalGrace = std::chrono::milliseconds(12);
// Number of concurrent lease renewals while answers are being lost; both
// answers are rarely lost.
constexpr int kLossyConcurrentRenewals = 2;
// How long further losses are expected after one.
constexpr core::Duration kLossyPeriod = std::chrono::seconds(2);
// Half of the connections to the backend server.
constexpr std::size_t kMaxRenewals = 16;
// A start can be repeated because a backend server starts a run only once.
constexpr int kMaxStartAttempts = 6;
// A backend server on the same machine answers within milliseconds, and a start
// without an answer occupies resources. With a shorter timeout agents that are
// short of CPU time repeat answered starts.
constexpr core::Duration kStartTimeout = std::chrono::milliseconds(20);
// A backend server that has answered nothing for this long gets no new work.
constexpr core::Duration kUnresponsiveTimeout = std::chrono::milliseconds(300);
// Reports of this many earlier incarnations are recognized.
constexpr std::size_t kMaxEarlierIncarnations = 16;
// Delay before a lease renewal whose connection was refused, or a stop that got
// no answer, is sent again.
constexpr core::Duration kRetryDelay = std::chrono::milliseconds(50);
// Reports of ended runs are repeated to an entry that reconnects within this
// time.
constexpr core::Duration kFinalRetention = std::chrono::seconds(4);
// How long after its sending a start without an answer may still be carried out, also by
// the next incarnation of the backend server.
constexpr core::Duration kLateStartTime = std::chrono::seconds(15);
// Time for entries to claim the runs of an earlier agent process, even if the
// first attempt to connect is lost. If an entry and this agent die within one
// owner lease, it adds to that lease, and the sum has to stay below the time
// after which the entry's callers come back.
constexpr core::Duration kClaimPeriod = std::chrono::milliseconds(300);
// Estimates are off by up to 40%; a run is a straggler when its projected run
// time exceeds this percentage of the estimate plus kStragglerMargin.
constexpr int kStragglerPercent = 160;
// Margin on the projected run time, and the elapsed time before which no run
// counts as a straggler.
constexpr core::Duration kStragglerMargin = std::chrono::milliseconds(120);
constexpr core::Duration kStragglerReportInterval = std::chrono::milliseconds(90);
constexpr int kSlowSampleFactor = 3;
// Time without progress after which a run counts as stalled. The longest tasks
// take 3.6 s and so advance by one percent every 36 ms.
constexpr core::Duration kStallTimeout = std::chrono::milliseconds(150);
// A run has stalled only after a multiple of the time that it needed for one
// percent: tasks of seven times a long estimate on a slow backend server need
// over 100 ms for it, and the progress is seen every 50 ms.
constexpr int kStallPercents = 3;
// One percent of the longest tasks takes this share of the estimate: seven times
// the estimate, on a backend server at 0.6 of the speed.
constexpr int kLongestTaskPercents = 9;
// Runs that are compared with one that is behind: those in progress for as long as
// the progress is seen at least once, and the latest that have ended. A loaded
// backend server ends as many within 0.2 s.
constexpr core::Duration kMinComparedTime = std::chrono::milliseconds(60);
constexpr core::Duration kComparedPeriod = std::chrono::seconds(2);
constexpr std::size_t kComparedEndedRuns = 8;
// Fewer runs could all be tasks that take long, so the smoothed slowness decides.
constexpr std::size_t kMinComparedRuns = 3;
// Assumed remaining time of a stalled run, as a multiple of its estimate; long
// enough for the entry to move the run.
constexpr int kStalledFactor = 10;
constexpr double kEndedSpeedWeight = 0.05;
constexpr double kRunningSpeedWeight = 0.05;
// Delay of starts after a refusal for lack of resources, unless a run ends
// earlier.
constexpr core::Duration kNoResourcesDelay = std::chrono::milliseconds(30);

}  // namespace

RunExecutor::RunExecutor(const Tuning& tuning, WorkerPort& worker, ReportSink& reports)
    : tuning_(tuning),
      worker_(worker),
      reports_(reports),
      queue_(tuning.overload_policy),
      crashes_(reports),
      lease_(MaxLease(tuning.lease) - tuning.lease) {}

void RunExecutor::Begin(core::TimePoint now) {
  begun_at_ = now;
  earlier_runs_pending_ = true;
  SendDueRenewals(now);
}

bool RunExecutor::IsNews(const WorkerReport& report) const {
  if (earlier_incarnations_.contains(report.incarnation)) return false;
  // Without a time of birth the report names no incarnation.
  const bool may_follow = (worker_gone_ || refusing_since_) && report.incarnation != 0;
  if (report.incarnation < worker_incarnation_ && !may_follow) return false;
  const bool same = worker_report_ && worker_report_->id == report.id &&
                    report.incarnation == worker_incarnation_;
  return !same || report.sequence > worker_report_->sequence;
}

bool RunExecutor::NeedsNoProof(const WorkerReport& report) const {
  if (worker_gone_) return true;
  if (earlier_runs_pending_) return false;
  if (worker_incarnation_ == 0) return true;
  const bool same_id = !worker_report_ || worker_report_->id == report.id;
  return report.incarnation == worker_incarnation_ && same_id;
}

bool RunExecutor::OnWorkerReport(const WorkerReport& report, core::TimePoint now) {
  if (!IsNews(report)) {
    const bool unknown = report.incarnation != worker_incarnation_ &&
                         !earlier_incarnations_.contains(report.incarnation);
    if (unknown) incarnation_confirmed_ = false;
    SendDueRenewals(now);
    return false;
  }
  if (!NeedsNoProof(report)) {
    unproven_report_ = report;
    deciding_renewal_ = last_sent_renewal_ + 1;
    SendDueRenewals(now);
    return false;
  }
  TakeOver(report, now);
  return true;
}

void RunExecutor::TakeOver(const WorkerReport& report, core::TimePoint now) {
  // First, so that the calls below go to the incarnation that has reported.
  worker_.UseIncarnation(report);
  OnWorkerIncarnation(report.incarnation, now);
  worker_report_ = report;
  worker_report_->description.incarnation = report.incarnation;
  // That its reports arrive does not show that it can be called.
  worker_ready_ = !refusing_since_;
  if (refusing_since_) renewal_due_ = now;
  worker_shut_down_ = false;
  SendLateStops(now);
  StartQueued(now);
  SendDueRenewals(now);
}

void RunExecutor::DecideUnprovenReport(std::uint64_t renewal_number, core::TimePoint now) {
  if (!unproven_report_) return;
  // The present incarnation has answered under the id that it has reported.
  const bool present_answers = worker_report_.has_value();
  const bool proven = !present_answers && unproven_report_->incarnation == worker_incarnation_;
  if (!proven && renewal_number < deciding_renewal_) return;
  const WorkerReport report = std::move(*unproven_report_);
  unproven_report_.reset();
  if (proven) return TakeOver(report, now);
  reports_.OnReportRefuted(report);
}

void RunExecutor::OnWorkerShutdown(const std::string& id, core::TimePoint now) {
  if (unproven_report_ && unproven_report_->id == id) unproven_report_.reset();
  if (!worker_report_ || worker_report_->id != id) return;
  worker_ready_ = false;
  worker_shut_down_ = true;
  ReportNotRun(queue_.TakeAll(), now);
}

// A new incarnation of the backend server has none of the runs that the earlier
// one has listed.
void RunExecutor::OnWorkerIncarnation(std::int64_t incarnation, core::TimePoint now) {
  if (incarnation == worker_incarnation_ || incarnation == 0) return;
  const std::int64_t earlier = std::exchange(worker_incarnation_, incarnation);
  first_renewal_of_incarnation_ = last_sent_renewal_ + 1;
  if (earlier == 0) return;
  earlier_incarnations_.insert(earlier);
  if (earlier_incarnations_.size() > kMaxEarlierIncarnations) {
    earlier_incarnations_.erase(earlier_incarnations_.begin());
  }
  worker_gone_ = false;
  lease_.OnNextIncarnation();
  incarnation_confirmed_ = false;
  ReportEnd(earlier, now);
  refusing_since_.reset();
  // First, so that the end of a run starts no queued one: the kind of the new incarnation is not
  // known before it has reported.
  worker_ready_ = false;
  worker_report_.reset();
  AbandonIncarnation(now);
  for (const auto& [id, until] : std::exchange(late_starts_, {})) late_stops_[id] = {now, until};
  health_.Reset();
  speed_.Reset();
  ended_cursor_ = 0;
  acknowledged_cursor_ = 0;
}

void RunExecutor::OnEvacuation(const std::set<std::string>& data_centres, std::uint64_t position,
                               core::TimePoint now) {
  if (position < evacuation_position_) return;
  evacuation_position_ = position;
  evacuated_ = data_centres;
  StartQueued(now);
}

bool RunExecutor::IsEvacuated() const {
  return worker_report_ && evacuated_.contains(worker_report_->description.data_centre);
}

bool RunExecutor::AcceptsOrders() const {
  return worker_ready_ && worker_report_ && !worker_report_->draining && !draining_ &&
         !IsEvacuated();
}

bool RunExecutor::IsForPresentIncarnation(const RunOrder& order) const {
  return order.incarnation == 0 || order.incarnation == worker_incarnation_;
}

bool RunExecutor::HasTask(const TaskId& task) const {
  const auto it = runs_.lower_bound(RunId{task, 0});
  return it != runs_.end() && it->first.task == task;
}

std::map<RunId, RunExecutor::Run>::iterator RunExecutor::FindListed(const RunId& id) {
  const auto it = runs_.lower_bound(id.AsListed());
  const bool found = it != runs_.end() && it->first.AsListed() == id.AsListed();
  return found ? it : runs_.end();
}

void RunExecutor::HandBackOrdersOf(const TaskId& task, core::TimePoint now) {
  ReportNotRun(queue_.TakeTask(task), now);
  std::erase_if(deferred_, [&](const DeferredOrder& it) {
    if (it.order.id.task != task) return false;
    ReportFinal(it.owner, RunReport{it.order.id, RunReport::Kind::kNotRun, {}}, now);
    return true;
  });
}

void RunExecutor::OnOrder(const std::string& owner, RunOrder order, core::TimePoint now) {
  // An agent that stood still reads orders that are older than their permission.
  if (!AcceptsOrders() || !IsForPresentIncarnation(order) || IsSilent(owner, now)) {
    reports_.Report(owner, RunReport{order.id, RunReport::Kind::kNotRun, {}});
    return;
  }
  if (queue_.Contains(order.id) || (runs_.contains(order.id) && runs_[order.id].owner == owner)) {
    return;
  }
  HandBackOrdersOf(order.id.task, now);
  if (HasTask(order.id.task)) {
    // The caller has submitted the job again.
    for (auto& [id, run] : runs_) {
      if (id.task == order.id.task) StopRun(run, now);
    }
    deferred_.push_back(DeferredOrder{owner, std::move(order)});
    return;
  }
  const RunId id = order.id;
  queue_.Add(std::move(order), owner);
  StartQueued(now);
  if (queue_.Contains(id)) reports_.Report(owner, RunReport{id, RunReport::Kind::kQueued, {}});
}

void RunExecutor::OnStop(const RunId& id, core::TimePoint now) {
  std::string owner;
  for (const RunQueue::Item& it : queue_.items()) {
    if (it.order.id == id) owner = it.owner;
  }
  if (queue_.Remove(id)) {
    reports_.Report(owner, RunReport{id, RunReport::Kind::kNotRun, {}});
    return;
  }
  const auto deferred = std::find_if(deferred_.begin(), deferred_.end(),
                                     [&id](const DeferredOrder& it) { return it.order.id == id; });
  if (deferred != deferred_.end()) {
    reports_.Report(deferred->owner, RunReport{id, RunReport::Kind::kNotRun, {}});
    deferred_.erase(deferred);
    return;
  }
  // An entry that does not know the submission has the id from a backend server's list.
  const auto it = id.submission == 0 ? FindListed(id) : runs_.find(id);
  if (it != runs_.end()) StopRun(it->second, now);
}

void RunExecutor::OnWithdraw(const std::string& owner, const RunId& id, core::TimePoint now) {
  const auto it = runs_.find(id);
  if (it != runs_.end() && it->second.owner == owner) {
    reports_.Report(owner, RunReport{id, RunReport::Kind::kStarted, {}});
    return;
  }
  OnStop(id, now);
}

void RunExecutor::OnExpedite(const RunId& id, core::TimePoint now) {
  queue_.Expedite(id);
  for (DeferredOrder& it : deferred_) {
    if (it.order.id == id) it.order.expedited = true;
  }
  StartQueued(now);
}

void RunExecutor::OnClaim(const std::string& owner, const RunId& id,
                          const std::optional<Resources>& need) {
  const auto it = FindListed(id);
  if (it == runs_.end() || !it->second.owner.empty()) return;
  auto node = runs_.extract(it);
  node.key() = id;
  Run& run = node.mapped();
  run.order.id = id;
  run.owner = owner;
  if (need) {
    run.order.need = *need;
    run.need_known = true;
  }
  runs_.insert(std::move(node));
}

void RunExecutor::OnOwnerConfirmed(const std::string& owner, core::TimePoint sent) {
  core::TimePoint& confirmed = confirmed_at_[owner];
  confirmed = std::max(confirmed, sent);
}

Resources RunExecutor::FreeResources() const {
  if (!worker_report_) return {};
  Resources free = worker_report_->description.total;
  for (const auto& [id, run] : runs_) {
    // Nothing is known to be free beside a run of unknown size.
    if (!run.need_known) return {};
    free.Subtract(run.order.need);
  }
  return free;
}

bool RunExecutor::IsSilent(const std::string& owner, core::TimePoint now) const {
  const auto it = confirmed_at_.find(owner);
  return it == confirmed_at_.end() || now > it->second + tuning_.owner_lease;
}

void RunExecutor::DropOrdersOfSilentOwners(core::TimePoint now) {
  for (const auto& [owner, confirmed_at] : confirmed_at_) {
    if (IsSilent(owner, now)) ReportNotRun(queue_.TakeOwnedBy(owner), now);
  }
  std::erase_if(deferred_, [this, now](const DeferredOrder& it) {
    if (!IsSilent(it.owner, now)) return false;
    ReportFinal(it.owner, RunReport{it.order.id, RunReport::Kind::kNotRun, {}}, now);
    return true;
  });
}

void RunExecutor::StartQueued(core::TimePoint now) {
  // The timer that drops such orders may be late itself.
  DropOrdersOfSilentOwners(now);
  // A start that was refused for lack of resources may have returned to the queue since.
  if (!AcceptsOrders()) return HandBackQueue(now);
  if (earlier_runs_pending_ || now < no_start_before_) return;
  std::vector<RunQueue::Item> held;
  while (!queue_.empty()) {
    auto item = queue_.TakeNext(FreeResources(), now);
    if (!item) break;
    if (LeaseExceedsLimit(item->owner, now)) {
      held.push_back(std::move(*item));
    } else {
      Start(std::move(*item), now);
    }
  }
  // Their turn comes with their owner's next confirmation.
  for (RunQueue::Item& it : held) queue_.Return(std::move(it));
}

bool RunExecutor::LeaseExceedsLimit(const std::string& owner, core::TimePoint now) const {
  const auto confirmed = confirmed_at_.find(owner);
  if (confirmed == confirmed_at_.end()) return true;
  const core::TimePoint lease_end = lease_.LatestEnd();
  return lease_end > now && confirmed->second + tuning_.run_limit < lease_end;
}

void RunExecutor::Start(RunQueue::Item item, core::TimePoint now) {
  const RunId id = item.order.id;
  Run& run = runs_[id];
  run.order = std::move(item.order);
  run.owner = std::move(item.owner);
  run.started_at = now;
  run.progressed_at = now;
  run.reported_at = now;
  run.visible_from_renewal = last_sent_renewal_ + 1;
  reports_.Report(run.owner, RunReport{id, RunReport::Kind::kStarted, {}});
  SendStart(run, now);
  SendDueRenewals(now);
}

void RunExecutor::SendStart(Run& run, core::TimePoint now) {
  run.sent_to = worker_incarnation_;
  run.start_pending = true;
  const core::TimePoint lease_end = LeaseEnd(now).value_or(now);
  run.lease_call = lease_.OnSent(lease_end);
  worker_.StartRun(run.order, lease_end, kStartTimeout);
}

std::optional<core::TimePoint> RunExecutor::LeaseEnd(core::TimePoint now) const {
  if (earlier_runs_pending_ || runs_.empty()) return std::nullopt;
  core::TimePoint end = now + tuning_.lease;
  for (const auto& [id, run] : runs_) {
    const auto confirmed = confirmed_at_.find(run.owner);
    if (confirmed == confirmed_at_.end()) return std::nullopt;
    end = std::min(end, confirmed->second + tuning_.run_limit);
  }
  if (end <= now) return std::nullopt;
  return end;
}

void RunExecutor::OnStartResult(const RunId& id, StartResult result, core::TimePoint now) {
  const auto it = runs_.find(id);
  if (it == runs_.end()) return;
  Run& run = it->second;
  run.start_pending = false;
  if (result == StartResult::kRefused) {
    lease_.OnRefused(run.lease_call);
  } else {
    lease_.OnSettled(run.lease_call);
  }
  switch (result) {
    case StartResult::kStarted:
      last_answer_ = now;
      run.confirmed = true;
      if (run.state == RunState::kStarting) run.state = RunState::kRunning;
      run.visible_from_renewal = last_sent_renewal_ + 1;
      return;
    case StartResult::kUnknown:
      return OnUnansweredStart(run, now);
    case StartResult::kNoResources:
      return OnStartWithoutResources(run, now);
    case StartResult::kNumberUsed:
      // An earlier unanswered start may have been carried out and its run may
      // have ended; a lease renewal will then list the end.
      if (run.unanswered_starts > 0) return StopRun(run, now);
      return EndRun(id, RunReport::Kind::kNumberUsed, now);
    case StartResult::kRefused:
      return OnStartRefused(run, now);
    case StartResult::kWorkerGone: {
      const bool gone = run.sent_to == worker_incarnation_;
      if (gone) worker_ready_ = false;
      // After an unanswered start the run may be what has crashed the backend
      // server.
      if (run.unanswered_starts == 0) EndRun(id, RunReport::Kind::kNotRun, now);
      if (gone) OnWorkerGone(now);
      return;
    }
    case StartResult::kLeaseExpired:
    case StartResult::kUnhealthy:
    case StartResult::kFenced:
    case StartResult::kInvalid:
      health_.OnFailure();
      if (run.unanswered_starts > 0) return StopRun(run, now);
      return EndRun(id, RunReport::Kind::kNotRun, now);
  }
}

void RunExecutor::OnStartWithoutResources(Run& run, core::TimePoint now) {
  // An earlier start without an answer may be what occupies the resources.
  if (run.unanswered_starts > 0) return StopRun(run, now);
  no_start_before_ = now + kNoResourcesDelay;
  const RunId id = run.order.id;
  if (run.state == RunState::kStopping) return EndRun(id, RunReport::Kind::kLost, now);
  RunQueue::Item item{run.order, run.owner, 0, 0};
  runs_.erase(id);
  reports_.Report(item.owner, RunReport{id, RunReport::Kind::kQueued, {}});
  queue_.Add(std::move(item.order), std::move(item.owner));
}

void RunExecutor::OnStartRefused(Run& run, core::TimePoint now) {
  const bool refusing = run.sent_to == worker_incarnation_;
  if (refusing) NoteRefusal(now);
  if (run.unanswered_starts == 0) {
    EndRun(RunId(run.order.id), RunReport::Kind::kNotRun, now);
  } else {
    // A copy of the start may have been carried out.
    StopRun(run, now);
  }
  if (refusing) OnWorkerRefusing(now);
}

void RunExecutor::OnUnansweredStart(Run& run, core::TimePoint now) {
  ++run.unanswered_starts;
  lossy_until_ = now + kLossyPeriod;
  if (run.state != RunState::kStarting) return;
  if (run.unanswered_starts >= kMaxStartAttempts) {
    health_.OnFailure();
    return StopRun(run, now);
  }
  if (IsSilent(run.owner, now)) return StopRun(run, now);
  SendStart(run, now);
}

void RunExecutor::StopRun(Run& run, core::TimePoint now) {
  if (run.state == RunState::kStopping) return;
  run.state = RunState::kStopping;
  run.stop_due = now + kRetryDelay;
  run.stop_answered = false;
  worker_.StopRun(run.order.id);
}

void RunExecutor::OnStopResult(const RunId& id, bool answered, core::TimePoint now) {
  if (const auto late = late_stops_.find(id); late != late_stops_.end()) {
    if (answered) late_stops_.erase(late);
    return;
  }
  const auto it = runs_.find(id);
  if (it == runs_.end() || it->second.state != RunState::kStopping) return;
  if (!answered) {
    it->second.stop_due = now + kRetryDelay;
    return;
  }
  last_answer_ = now;
  it->second.stop_answered = true;
  it->second.missing_from_answers = 0;
  it->second.visible_from_renewal = last_sent_renewal_ + 1;
  SendDueRenewals(now);
}

void RunExecutor::EndRun(const RunId& id, RunReport::Kind kind, core::TimePoint now) {
  const auto it = runs_.find(id);
  if (it == runs_.end()) return;
  const std::string owner = it->second.owner;
  if (it->second.MayStartLate()) late_starts_[id] = now + kLateStartTime;
  lease_.OnSettled(it->second.lease_call);
  runs_.erase(it);
  ReportFinal(owner, RunReport{id, kind, {}}, now);
  for (auto deferred = deferred_.begin(); deferred != deferred_.end(); ++deferred) {
    if (deferred->order.id.task != id.task || HasTask(id.task)) continue;
    DeferredOrder next = std::move(*deferred);
    deferred_.erase(deferred);
    OnOrder(next.owner, std::move(next.order), now);
    break;
  }
  StartQueued(now);
}

void RunExecutor::ReportFinal(const std::string& owner, const RunReport& report,
                              core::TimePoint now) {
  finals_.push_back(FinalReport{owner, report, now});
  if (!owner.empty()) reports_.Report(owner, report);
}

void RunExecutor::MarkAllRunsLost(core::TimePoint now) {
  std::vector<RunId> ids;
  for (const auto& [id, run] : runs_) {
    ids.push_back(id);
    if (run.MayStartLate()) late_stops_[id] = {now, now + kLateStartTime};
  }
  worker_ready_ = false;
  for (const RunId& id : ids) EndRun(id, RunReport::Kind::kLost, now);
  ReportNotRun(queue_.TakeAll(), now);
}

void RunExecutor::NoteRefusal(core::TimePoint now) {
  worker_ready_ = false;
  if (!refusing_since_) refusing_since_ = now;
}

void RunExecutor::OnWorkerRefusing(core::TimePoint now) {
  NoteRefusal(now);
  if (!IsLeaving()) crashes_.OnRefusal(worker_incarnation_, *refusing_since_, PresentRuns(now));
  ReportNotRun(queue_.TakeAll(), now);
}

void RunExecutor::OnLeaseEnded(core::TimePoint now) {
  if (refusing_since_) {
    ReportEnd(worker_incarnation_, now);
  } else {
    crashes_.OnLapsed(PresentRuns(now));
  }
  MarkAllRunsLost(now);
}

void RunExecutor::OnWorkerGone(core::TimePoint now) {
  worker_gone_ = true;
  ReportEnd(worker_incarnation_, now);
  refusing_since_.reset();
  MarkAllRunsLost(now);
  if (!unproven_report_) return;
  const WorkerReport report = std::move(*unproven_report_);
  unproven_report_.reset();
  if (IsNews(report)) TakeOver(report, now);
}

std::vector<RunAtCrash> RunExecutor::PresentRuns(core::TimePoint now) const {
  const core::TimePoint present_until = refusing_since_.value_or(now);
  std::vector<RunAtCrash> runs;
  for (const auto& [id, run] : runs_) {
    const core::Duration ran_for = std::max(present_until - run.started_at, core::Duration::zero());
    runs.push_back({id, ran_for, run.confirmed || run.listed, run.order.route});
  }
  return runs;
}

bool RunExecutor::IsLeaving() const {
  return worker_shut_down_ || (worker_report_ && worker_report_->draining);
}

void RunExecutor::ReportEnd(std::int64_t incarnation, core::TimePoint now) {
  if (IsLeaving()) return crashes_.OnPlannedEnd();
  crashes_.OnCrash(incarnation, refusing_since_.value_or(now), PresentRuns(now));
}

void RunExecutor::AbandonIncarnation(core::TimePoint now) {
  std::vector<RunId> ended;
  for (auto& [id, run] : runs_) {
    if (run.listed && run.unanswered_starts == 0) {
      ended.push_back(id);
      continue;
    }
    run.state = RunState::kRunning;
    run.visible_from_renewal = last_sent_renewal_ + 1;
    StopRun(run, now);
  }
  for (const RunId& id : ended) EndRun(id, RunReport::Kind::kLost, now);
  ReportNotRun(queue_.TakeAll(), now);
}

// A backend server refuses a start of a run that it was told to stop before.
void RunExecutor::SendLateStops(core::TimePoint now) {
  std::erase_if(late_stops_, [now](const auto& it) { return now >= it.second.until; });
  std::erase_if(late_starts_, [now](const auto& it) { return now >= it.second; });
  if (!worker_ready_) return;
  for (auto& [id, stop] : late_stops_) {
    if (now < stop.due) continue;
    stop.due = now + kRetryDelay;
    worker_.StopRun(id);
  }
}

void RunExecutor::ReportNotRun(const std::vector<RunQueue::Item>& items, core::TimePoint now) {
  for (const RunQueue::Item& it : items) {
    ReportFinal(it.owner, RunReport{it.order.id, RunReport::Kind::kNotRun, {}}, now);
  }
}

void RunExecutor::SendDueRenewals(core::TimePoint now) {
  const bool unconfirmed = worker_report_ && !worker_ready_ && !worker_shut_down_;
  const bool wanted = earlier_runs_pending_ || unconfirmed || !incarnation_confirmed_ ||
                      unproven_report_ || !runs_.empty() || ended_cursor_ > acknowledged_cursor_;
  const auto awaited = std::count_if(renewals_.begin(), renewals_.end(),
                                     [now](const auto& it) { return now < it.second.overdue; });
  const bool overdue = static_cast<std::size_t>(awaited) < renewals_.size();
  const bool lossy = now < lossy_until_;
  if (!wanted || now < renewal_due_) return;
  const bool ends_awaited = !earlier_runs_pending_ && !runs_.empty();
  const bool hurried = lossy || overdue;
  const core::Duration longest = hurried ? kLossyRenewalWait : kRenewalWait;
  const core::Duration grace = hurried ? kLossyRenewalGrace : kRenewalGrace;
  const int wanted_at_once = hurried ? kLossyConcurrentRenewals : 1;
  // An answer that may only be late gets one round of further renewals.
  const std::size_t most = lossy ? kMaxRenewals : 1 + kLossyConcurrentRenewals;
  const std::optional<core::TimePoint> lease_end = LeaseEnd(now);
  for (auto n = awaited; n < wanted_at_once && renewals_.size() < most; ++n) {
    const std::uint64_t lease_call = lease_end ? lease_.OnSent(*lease_end) : 0;
    renewals_[++last_sent_renewal_] = {now, now + longest + grace, lease_call};
    acknowledged_cursor_ = ended_cursor_;
    worker_.RenewLease(last_sent_renewal_, ended_cursor_, lease_end,
                       ends_awaited ? longest : core::Duration::zero());
  }
}

void RunExecutor::OnLeaseRenewal(std::uint64_t renewal_number,
                                 const std::optional<LeaseRenewal>& result, CallFailure failure,
                                 core::TimePoint now) {
  if (const auto sent = renewals_.extract(renewal_number); !sent.empty()) {
    const bool refused = !result && failure == CallFailure::kRefused;
    refused ? lease_.OnRefused(sent.mapped().lease_call)
            : lease_.OnSettled(sent.mapped().lease_call);
  }
  const bool of_incarnation = result && result->incarnation == worker_incarnation_;
  if (renewal_number < first_renewal_of_incarnation_ && !of_incarnation) return;
  // A late answer, of a busy backend server or to an agent short of CPU time, is
  // not a lost one: only a later answer that overtakes it shows the loss.
  const bool overtakes = !renewals_.empty() && renewals_.begin()->first < renewal_number &&
                         now >= renewals_.begin()->second.overdue;
  const bool unanswered = !result && failure == CallFailure::kNoAnswer;
  if (overtakes || unanswered) lossy_until_ = now + kLossyPeriod;
  if (!result) return OnRenewalFailed(failure, now);
  last_answer_ = now;
  if (renewal_number >= first_renewal_of_incarnation_) {
    incarnation_confirmed_ = true;
    worker_gone_ = false;
  }
  const bool newest = renewal_number > last_answered_renewal_;
  last_answered_renewal_ = std::max(last_answered_renewal_, renewal_number);
  const bool first = earlier_runs_pending_;
  earlier_runs_pending_ = false;
  OnWorkerIncarnation(result->incarnation, now);
  refusing_since_.reset();
  crashes_.OnAnswer(result->incarnation);
  DecideUnprovenReport(renewal_number, now);
  worker_ready_ = worker_report_ && !worker_shut_down_;
  const std::set<RunId> listed = ReadLists(*result, first, now);
  runs_known_ = true;
  if (newest) EndUnlistedRuns(listed, now);
  if (!result->ended.empty()) no_start_before_ = now;
  StartQueued(now);
  SendDueRenewals(now);
}

void RunExecutor::OnRenewalFailed(CallFailure failure, core::TimePoint now) {
  if (failure == CallFailure::kNoAnswer) return;
  renewal_due_ = now + kRetryDelay;
  if (failure == CallFailure::kRefused) return OnWorkerRefusing(now);
  earlier_runs_pending_ = false;
  runs_known_ = true;
  OnWorkerGone(now);
}

std::set<RunId> RunExecutor::ReadLists(const LeaseRenewal& lists, bool adopt, core::TimePoint now) {
  std::set<RunId> listed;
  for (const EndedRun& it : lists.ended) {
    listed.insert(it.id.AsListed());
    OnEnded(it, now);
  }
  for (const RunningRun& it : lists.running) {
    listed.insert(it.id.AsListed());
    if (adopt && FindListed(it.id) == runs_.end()) Adopt(it.id, now);
    OnRunning(it, now);
  }
  return listed;
}

void RunExecutor::Adopt(const RunId& id, core::TimePoint now) {
  Run& run = runs_[id];
  run.order.id = id;
  run.state = RunState::kRunning;
  run.confirmed = true;
  run.need_known = false;
  run.started_at = now;
  run.progressed_at = now;
  // The earlier process may have renewed the lease just before it ended.
  lease_.OnEarlierProcess(now + tuning_.lease);
}

void RunExecutor::OnEnded(const EndedRun& ended, core::TimePoint now) {
  if (ended.number <= ended_cursor_) return;
  ended_cursor_ = ended.number;
  const auto it = FindListed(ended.id);
  const RunReport::Kind kind = ended.outcome == EndedRun::Outcome::kDone ? RunReport::Kind::kDone
                               : ended.outcome == EndedRun::Outcome::kFailed
                                   ? RunReport::Kind::kFailed
                                   : RunReport::Kind::kLost;
  if (it == runs_.end()) {
    // A run of an earlier agent process; entries learn of its end when they
    // connect.
    ReportFinal("", RunReport{ended.id, kind, {}}, now);
    return;
  }
  const Run& run = it->second;
  if (kind == RunReport::Kind::kDone) {
    health_.OnSuccess();
    if (run.order.estimate > core::Duration::zero()) {
      health_.OnSpeed(now - run.started_at, run.order.estimate, 1.0, kEndedSpeedWeight);
      speed_.OnEnded(now - run.started_at, run.order.estimate, now);
    }
  } else if (kind == RunReport::Kind::kFailed) {
    health_.OnFailure();
  }
  const RunId id = it->first;
  EndRun(id, kind, now);
}

void RunExecutor::OnRunning(const RunningRun& running, core::TimePoint now) {
  const auto it = FindListed(running.id);
  if (it == runs_.end()) {
    // This agent has given the run up, so it must not continue.
    worker_.StopRun(running.id);
    return;
  }
  Run& run = it->second;
  if (running.percent > run.percent) run.progressed_at = now;
  run.percent = running.percent;
  run.listed_at = now;
  run.missing_from_answers = 0;
  run.listed = true;
  if (run.state == RunState::kRunning) ReportStraggler(run, now);
}

void RunExecutor::ReportStraggler(Run& run, core::TimePoint now) {
  const core::Duration estimate = run.order.estimate;
  const core::Duration elapsed = now - run.started_at;
  if (estimate == core::Duration::zero() || elapsed < kStragglerMargin) return;
  if (now - run.reported_at < kStragglerReportInterval) return;
  constexpr int kWhole = 100;
  const int percent = std::clamp(run.percent, 1, kWhole);
  const core::Duration length = elapsed * kWhole / percent;
  if (length < estimate * kStragglerPercent / kWhole + kStragglerMargin) return;
  run.reported_at = now;
  // A task that takes long by itself would do so elsewhere too. Its run is
  // reported, and counts for the slowness of the backend server, only if that is
  // the likely cause.
  const bool stalled = IsStalled(run, now);
  if (!stalled && !OthersAreSlow(run, now)) return;
  // The speed of a run in progress is sampled only if its delay exceeds any
  // estimate error.
  if (length > estimate * kSlowSampleFactor) {
    health_.OnSpeed(elapsed, estimate, static_cast<double>(percent) / kWhole, kRunningSpeedWeight);
  }
  if (run.owner.empty()) return;
  const core::Duration remaining =
      std::max(length - elapsed, stalled ? estimate * kStalledFactor : core::Duration(1));
  reports_.Report(run.owner, RunReport{run.order.id, RunReport::Kind::kStarted, remaining});
}

bool RunExecutor::IsStalled(const Run& run, core::TimePoint now) {
  const core::Duration per_percent = run.percent > 0
                                         ? (run.progressed_at - run.started_at) / run.percent
                                         : run.order.estimate / kLongestTaskPercents;
  return now - run.progressed_at >= std::max(kStallTimeout, per_percent * kStallPercents);
}

bool RunExecutor::OthersAreSlow(const Run& run, core::TimePoint now) const {
  std::vector<double> ratios = speed_.Latest(kComparedEndedRuns, now - kComparedPeriod);
  for (const auto& [id, other] : runs_) {
    const core::Duration estimate = other.order.estimate;
    if (&other == &run || other.state != RunState::kRunning || !other.listed) continue;
    // Before this time the share that is done says too little.
    const core::Duration elapsed = other.listed_at - other.started_at;
    if (estimate <= core::Duration::zero() || elapsed < kMinComparedTime) continue;
    // The percentage is rounded down.
    const double done = (other.percent + 1) / 100.0;
    ratios.push_back(static_cast<double>(elapsed.count()) /
                     (static_cast<double>(estimate.count()) * done));
  }
  if (ratios.size() < kMinComparedRuns) return health_.slowness() >= kMinSignificantSlowness;
  const auto quartile = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 4);
  std::nth_element(ratios.begin(), quartile, ratios.end());
  return *quartile >= kMinSignificantSlowness;
}

// Ends runs that the backend server no longer has: stopped ones after one
// answer that does not list them, others after three, since answers may
// overtake each other.
void RunExecutor::EndUnlistedRuns(const std::set<RunId>& listed, core::TimePoint now) {
  constexpr int kMissedAnswersUntilLost = 3;
  std::vector<RunId> ended;
  for (auto& [id, run] : runs_) {
    if (listed.contains(id.AsListed()) || last_answered_renewal_ < run.visible_from_renewal) {
      continue;
    }
    const bool stopped = run.state == RunState::kStopping && run.stop_answered;
    const bool running = run.state == RunState::kRunning;
    if (!stopped && !running) continue;
    ++run.missing_from_answers;
    if (stopped || run.missing_from_answers >= kMissedAnswersUntilLost) ended.push_back(id);
  }
  for (const RunId& id : ended) EndRun(id, RunReport::Kind::kLost, now);
}

// Reports queued runs as not run when the backend server has stopped answering.
void RunExecutor::CheckWorkerResponsive(core::TimePoint now) {
  if (renewals_.empty() || !worker_ready_) return;
  const core::TimePoint since = std::max(last_answer_, renewals_.begin()->second.sent);
  if (now - since < kUnresponsiveTimeout) return;
  worker_ready_ = false;
  ReportNotRun(queue_.TakeAll(), now);
}

void RunExecutor::HandBackQueue(core::TimePoint now) { ReportNotRun(queue_.TakeAll(), now); }

void RunExecutor::BeginDrain(core::TimePoint now) {
  draining_ = true;
  HandBackQueue(now);
}

void RunExecutor::Advance(core::TimePoint now) {
  health_.Advance(now);
  ReportNotRun(queue_.TakeExpired(now), now);
  while (!finals_.empty() && now - finals_.front().time > kFinalRetention) finals_.pop_front();
  crashes_.Forget(now);
  if (!runs_.empty() && lease_.HasEnded(now)) OnLeaseEnded(now);
  if (earlier_runs_pending_ && now > begun_at_ + MaxLease(tuning_.lease)) runs_known_ = true;
  CheckWorkerResponsive(now);
  SendLateStops(now);
  for (auto& [id, run] : runs_) {
    const bool unclaimed = run.owner.empty() && now - begun_at_ > kClaimPeriod;
    const bool silent = !run.owner.empty() && IsSilent(run.owner, now);
    if (unclaimed || silent) StopRun(run, now);
    if (run.state == RunState::kStopping && !run.stop_answered && now >= run.stop_due) {
      run.stop_due = now + tuning_.lease;
      worker_.StopRun(id);
    }
  }
  StartQueued(now);
  SendDueRenewals(now);
}

const WorkerDescription& RunExecutor::Description() const {
  static const WorkerDescription unknown;
  return worker_report_ ? worker_report_->description : unknown;
}

WorkerState RunExecutor::State(core::TimePoint now) const {
  WorkerState state;
  if (!worker_report_) return state;
  state.ready = worker_ready_;
  state.draining = worker_report_->draining || draining_ || IsEvacuated();
  state.free = FreeResources();
  state.queued_work = queue_.OnTimeWork(now);
  state.late_work = queue_.LateWork(now);
  if (tuning_.overload_policy == OverloadPolicy::kPriority) {
    state.queued_by_priority = queue_.OnTimeWorkByPriority(now);
  }
  state.slowness = health_.slowness();
  state.run_time_ratio = speed_.Ratio(now).value_or(0.0);
  state.failure_ratio = health_.failure_ratio();
  return state;
}

std::vector<RunReport> RunExecutor::RunsFor(const std::string& owner) const {
  std::vector<RunReport> reports;
  for (const auto& [id, run] : runs_) {
    if (run.owner.empty() || run.owner == owner) {
      reports.push_back(RunReport{id, RunReport::Kind::kStarted, {}});
    }
  }
  for (const RunQueue::Item& it : queue_.items()) {
    if (it.owner == owner) reports.push_back(RunReport{it.order.id, RunReport::Kind::kQueued, {}});
  }
  for (const DeferredOrder& it : deferred_) {
    if (it.owner == owner) reports.push_back(RunReport{it.order.id, RunReport::Kind::kQueued, {}});
  }
  for (const FinalReport& it : finals_) {
    if (it.owner.empty() || it.owner == owner) reports.push_back(it.report);
  }
  return reports;
}

std::optional<core::Duration> RunExecutor::TimeSinceConfirmed(const std::string& owner,
                                                              core::TimePoint now) const {
  const auto it = confirmed_at_.find(owner);
  if (it == confirmed_at_.end()) return std::nullopt;
  return now - it->second;
}

bool RunExecutor::HasRunsOf(const std::string& owner) const {
  const bool running = std::any_of(runs_.begin(), runs_.end(),
                                   [&owner](const auto& it) { return it.second.owner == owner; });
  const bool queued = std::any_of(queue_.items().begin(), queue_.items().end(),
                                  [&owner](const auto& it) { return it.owner == owner; });
  return running || queued || !deferred_.empty();
}

}  // namespace coltsfoottide::direct
