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

// How often the progress of runs is looked at.
constexpr core::Duration kHoldWait = std::chrono::milliseconds(50);
// A hold is repeated when its answer is so much overdue: a lost one would hide
// the ends of all runs.
constexpr core::Duration kHoldGrace = std::chrono::milliseconds(12);
// While answers are lost a hold waits only so long: until the next one answers,
// no end is seen and no room becomes free.
constexpr core::Duration kLossyHoldWait = std::chrono::milliseconds(10);
// Holds at a time then: rarely are both lost.
constexpr int kLossyHolds = 2;
constexpr core::Duration kLossyTime = std::chrono::seconds(2);
// Half of the connections to the backend server.
constexpr std::size_t kMostHolds = 16;
// The same order may be sent again: a backend server starts a run once.
constexpr int kMostStartAttempts = 6;
// A backend server on the same machine answers within milliseconds, and an
// order that waits for its answer holds room. Below this agents that are short
// of processor time repeat answered orders.
constexpr core::Duration kStartLimit = std::chrono::milliseconds(20);
// A backend server that has answered nothing for so long gets no new work.
constexpr core::Duration kUnresponsive = std::chrono::milliseconds(300);
// Delay before a hold or stop that got no answer is sent again.
constexpr core::Duration kRetryDelay = std::chrono::milliseconds(50);
// Reports of ended runs are repeated to an entry that connects again within
// this time.
constexpr core::Duration kKeepFinals = std::chrono::seconds(4);
// Time for entries to claim the runs of an earlier agent process: one renewal
// of every connection.
constexpr core::Duration kClaimTime = std::chrono::milliseconds(700);
// Estimates are off by up to 40%; a run is behind when its projected length
// exceeds the estimate by this part.
constexpr int kLaggardPercent = 160;
constexpr core::Duration kLaggardLeast = std::chrono::milliseconds(120);
constexpr core::Duration kLaggardInterval = std::chrono::milliseconds(90);
constexpr int kSlowFactor = 3;
// A run of the longest tasks, 3.6 s, advances by a percent in 36 ms.
constexpr core::Duration kStallTime = std::chrono::milliseconds(150);
// What a run that stands still takes, as a multiple of its estimate: no less
// than the gain for which an entry moves it.
constexpr int kStalledFactor = 10;
constexpr double kEndedSpeedWeight = 0.05;
constexpr double kRunningSpeedWeight = 0.05;
// After a refusal for want of room, unless an end frees some.
constexpr core::Duration kNoRoomDelay = std::chrono::milliseconds(30);

RunReport::Kind NotRunUnlessUnanswered(int unanswered_starts) {
  return unanswered_starts > 0 ? RunReport::Kind::kLost : RunReport::Kind::kNotRun;
}

}  // namespace

RunExecutor::RunExecutor(const Tuning& tuning, WorkerPort& worker, ReportSink& reports)
    : tuning_(tuning), worker_(worker), reports_(reports) {}

void RunExecutor::Begin(core::TimePoint now) {
  begun_ = now;
  begin_pending_ = true;
  MaybeHold(now);
}

bool RunExecutor::OnWorkerReport(const WorkerReport& report, core::TimePoint now) {
  if (report.life < life_) return false;
  const bool same = worker_report_ && worker_report_->id == report.id && report.life == life_;
  if (same && report.sequence <= worker_report_->sequence) return false;
  OnLife(report.life, now);
  worker_report_ = report;
  worker_ready_ = true;
  worker_left_ = false;
  if (report.draining) HandBack(queue_.TakeAll(), now);
  StartQueued(now);
  MaybeHold(now);
  return true;
}

void RunExecutor::OnWorkerLeft(const std::string& id, core::TimePoint now) {
  if (!worker_report_ || worker_report_->id != id) return;
  worker_ready_ = false;
  worker_left_ = true;
  HandBack(queue_.TakeAll(), now);
}

// A new life of the backend server holds and knows nothing of before.
void RunExecutor::OnLife(std::int64_t life, core::TimePoint now) {
  if (life == life_ || life == 0) return;
  const bool restarted = life_ != 0;
  life_ = life;
  if (!restarted) return;
  LeaveLife(now);
  health_.Reset();
  ended_seen_ = 0;
  acknowledged_ = 0;
  worker_ready_ = false;
  worker_report_.reset();
}

bool RunExecutor::TakesOrders() const {
  return worker_ready_ && worker_report_ && !worker_report_->draining && !draining_;
}

bool RunExecutor::HasTask(const TaskId& task) const {
  const auto it = runs_.lower_bound(RunId{task, 0});
  return it != runs_.end() && it->first.task == task;
}

void RunExecutor::OnOrder(const std::string& owner, RunOrder order, core::TimePoint now) {
  if (!TakesOrders()) {
    reports_.Report(owner, RunReport{order.id, RunReport::Kind::kNotRun, {}});
    return;
  }
  if (queue_.Contains(order.id) || (runs_.contains(order.id) && runs_[order.id].owner == owner)) {
    return;
  }
  if (HasTask(order.id.task)) {
    // The caller has submitted the job again through another entry.
    for (auto& [id, run] : runs_) {
      if (id.task == order.id.task) StopRun(run, now);
    }
    waiting_.push_back(WaitingOrder{owner, std::move(order)});
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
  const auto waiting = std::find_if(waiting_.begin(), waiting_.end(),
                                    [&id](const WaitingOrder& it) { return it.order.id == id; });
  if (waiting != waiting_.end()) {
    reports_.Report(waiting->owner, RunReport{id, RunReport::Kind::kNotRun, {}});
    waiting_.erase(waiting);
    return;
  }
  const auto it = runs_.find(id);
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
  for (WaitingOrder& it : waiting_) {
    if (it.order.id == id) it.order.expedited = true;
  }
  StartQueued(now);
}

void RunExecutor::OnClaim(const std::string& owner, const RunId& id) {
  const auto it = runs_.find(id);
  if (it != runs_.end() && it->second.owner.empty()) it->second.owner = owner;
}

void RunExecutor::OnOwnerHeard(const std::string& owner, core::TimePoint sent) {
  core::TimePoint& until = owner_until_[owner];
  until = std::max(until, sent + tuning_.owner_lease);
}

Resources RunExecutor::FreeRoom() const {
  if (!worker_report_) return {};
  Resources free = worker_report_->description.total;
  for (const auto& [id, run] : runs_) free.Take(run.order.need);
  return free;
}

void RunExecutor::StartQueued(core::TimePoint now) {
  if (!TakesOrders() || now < no_start_before_) return;
  while (!queue_.empty()) {
    auto item = queue_.TakeNext(FreeRoom(), now);
    if (!item) return;
    Start(std::move(*item), now);
  }
}

void RunExecutor::Start(RunQueue::Item item, core::TimePoint now) {
  const RunId id = item.order.id;
  Run& run = runs_[id];
  run.order = std::move(item.order);
  run.owner = std::move(item.owner);
  run.begun = now;
  run.progressed = now;
  run.reported = now;
  run.visible_from_hold = hold_round_ + 1;
  lease_until_ = std::max(lease_until_, now + LongestLease(tuning_.lease));
  reports_.Report(run.owner, RunReport{id, RunReport::Kind::kStarted, {}});
  worker_.StartRun(run.order, tuning_.lease, kStartLimit);
  MaybeHold(now);
}

void RunExecutor::OnStartResult(const RunId& id, StartResult result, core::TimePoint now) {
  const auto it = runs_.find(id);
  if (it == runs_.end()) return;
  Run& run = it->second;
  switch (result) {
    case StartResult::kStarted:
      last_answer_ = now;
      if (run.state == RunState::kStarting) run.state = RunState::kRunning;
      run.visible_from_hold = hold_round_ + 1;
      return;
    case StartResult::kUnknown:
      return OnUnansweredStart(run, now);
    case StartResult::kNoRoom: {
      // An unanswered order may have been the one that took the room.
      if (run.unanswered_starts > 0) return StopRun(run, now);
      no_start_before_ = now + kNoRoomDelay;
      const bool stopping = run.state == RunState::kStopping;
      RunQueue::Item item{run.order, run.owner, 0};
      if (stopping) return EndRun(id, RunReport::Kind::kLost, now);
      runs_.erase(it);
      reports_.Report(item.owner, RunReport{id, RunReport::Kind::kQueued, {}});
      queue_.Add(std::move(item.order), std::move(item.owner));
      return;
    }
    case StartResult::kNumberUsed:
      // Its own earlier order may have run and ended; the end is listed.
      if (run.unanswered_starts > 0) return StopRun(run, now);
      return EndRun(id, RunReport::Kind::kNumberUsed, now);
    case StartResult::kGone:
      worker_ready_ = false;
      EndRun(id, NotRunUnlessUnanswered(run.unanswered_starts), now);
      return HandBack(queue_.TakeAll(), now);
    case StartResult::kTooLate:
    case StartResult::kUnhealthy:
    case StartResult::kFenced:
    case StartResult::kInvalid:
      health_.OnFailure();
      if (run.unanswered_starts > 0) return StopRun(run, now);
      return EndRun(id, RunReport::Kind::kNotRun, now);
  }
}

void RunExecutor::OnUnansweredStart(Run& run, core::TimePoint now) {
  ++run.unanswered_starts;
  lossy_until_ = now + kLossyTime;
  if (run.state != RunState::kStarting) return;
  if (run.unanswered_starts >= kMostStartAttempts) {
    health_.OnFailure();
    return StopRun(run, now);
  }
  worker_.StartRun(run.order, tuning_.lease, kStartLimit);
}

void RunExecutor::StopRun(Run& run, core::TimePoint now) {
  if (run.state == RunState::kStopping) return;
  run.state = RunState::kStopping;
  run.stop_due = now + kRetryDelay;
  run.stop_answered = false;
  worker_.StopRun(run.order.id);
}

void RunExecutor::OnStopResult(const RunId& id, bool answered, core::TimePoint now) {
  const auto it = runs_.find(id);
  if (it == runs_.end() || it->second.state != RunState::kStopping) return;
  if (!answered) {
    it->second.stop_due = now + kRetryDelay;
    return;
  }
  last_answer_ = now;
  it->second.stop_answered = true;
  it->second.missed = 0;
  it->second.visible_from_hold = hold_round_ + 1;
  MaybeHold(now);
}

void RunExecutor::EndRun(const RunId& id, RunReport::Kind kind, core::TimePoint now) {
  const auto it = runs_.find(id);
  if (it == runs_.end()) return;
  const std::string owner = it->second.owner;
  runs_.erase(it);
  ReportFinal(owner, RunReport{id, kind, {}}, now);
  for (auto waiting = waiting_.begin(); waiting != waiting_.end(); ++waiting) {
    if (waiting->order.id.task != id.task || HasTask(id.task)) continue;
    WaitingOrder next = std::move(*waiting);
    waiting_.erase(waiting);
    OnOrder(next.owner, std::move(next.order), now);
    break;
  }
  StartQueued(now);
}

void RunExecutor::ReportFinal(const std::string& owner, const RunReport& report,
                              core::TimePoint now) {
  finals_.push_back(Final{owner, report, now});
  if (!owner.empty()) reports_.Report(owner, report);
}

void RunExecutor::LoseAllRuns(core::TimePoint now) {
  std::vector<RunId> ids;
  for (const auto& [id, run] : runs_) ids.push_back(id);
  worker_ready_ = false;
  for (const RunId& id : ids) EndRun(id, RunReport::Kind::kLost, now);
  HandBack(queue_.TakeAll(), now);
}

void RunExecutor::LeaveLife(core::TimePoint now) {
  std::vector<RunId> over;
  for (auto& [id, run] : runs_) {
    if (run.listed) {
      over.push_back(id);
      continue;
    }
    run.state = RunState::kRunning;
    run.visible_from_hold = hold_round_ + 1;
    StopRun(run, now);
  }
  for (const RunId& id : over) EndRun(id, RunReport::Kind::kLost, now);
  HandBack(queue_.TakeAll(), now);
}

void RunExecutor::HandBack(const std::vector<RunQueue::Item>& items, core::TimePoint now) {
  for (const RunQueue::Item& it : items) {
    ReportFinal(it.owner, RunReport{it.order.id, RunReport::Kind::kNotRun, {}}, now);
  }
}

void RunExecutor::MaybeHold(core::TimePoint now) {
  const bool unsure = worker_report_ && !worker_ready_ && !worker_left_;
  const bool wanted = begin_pending_ || unsure || !runs_.empty() || ended_seen_ > acknowledged_;
  const auto awaited = std::count_if(holds_.begin(), holds_.end(),
                                     [now](const auto& it) { return now < it.second.overdue; });
  if (static_cast<std::size_t>(awaited) < holds_.size()) lossy_until_ = now + kLossyTime;
  const bool lossy = now < lossy_until_;
  if (!wanted || now < hold_due_) return;
  const bool ends_awaited = !begin_pending_ && !runs_.empty();
  const core::Duration longest = lossy ? kLossyHoldWait : kHoldWait;
  for (auto n = awaited; n < (lossy ? kLossyHolds : 1) && holds_.size() < kMostHolds; ++n) {
    holds_[++hold_round_] = {now, now + longest + kHoldGrace};
    acknowledged_ = ended_seen_;
    lease_until_ = std::max(lease_until_, now + LongestLease(tuning_.lease));
    worker_.Hold(hold_round_, ended_seen_, tuning_.lease,
                 ends_awaited ? longest : core::Duration::zero());
  }
}

void RunExecutor::OnHold(std::uint64_t round, const std::optional<HoldResult>& result, bool gone,
                         core::TimePoint now) {
  holds_.erase(round);
  if (!result) {
    if (gone) {
      hold_due_ = now + kRetryDelay;
      begin_pending_ = false;
      runs_known_ = true;
      LoseAllRuns(now);
    }
    return;
  }
  last_answer_ = now;
  const bool newest = round > answered_round_;
  answered_round_ = std::max(answered_round_, round);
  const bool first = begin_pending_;
  begin_pending_ = false;
  OnLife(result->life, now);
  worker_ready_ = worker_report_ && !worker_left_;
  std::set<RunId> listed;
  for (const EndedRun& it : result->ended) {
    listed.insert(it.id);
    OnEnded(it, now);
  }
  for (const RunningRun& it : result->running) {
    listed.insert(it.id);
    if (first && !runs_.contains(it.id)) {
      Run& run = runs_[it.id];
      run.order.id = it.id;
      run.state = RunState::kRunning;
      run.begun = now;
      run.progressed = now;
    }
    OnRunning(it, now);
  }
  runs_known_ = true;
  if (newest) CheckUnlisted(listed, now);
  if (!result->ended.empty()) no_start_before_ = now;
  StartQueued(now);
  MaybeHold(now);
}

void RunExecutor::OnEnded(const EndedRun& ended, core::TimePoint now) {
  if (ended.number <= ended_seen_) return;
  ended_seen_ = ended.number;
  const auto it = runs_.find(ended.id);
  const RunReport::Kind kind = ended.how == EndedRun::How::kDone     ? RunReport::Kind::kDone
                               : ended.how == EndedRun::How::kFailed ? RunReport::Kind::kFailed
                                                                     : RunReport::Kind::kLost;
  if (it == runs_.end()) {
    // Of an earlier agent process: entries learn it when they connect.
    ReportFinal("", RunReport{ended.id, kind, {}}, now);
    return;
  }
  const Run& run = it->second;
  if (kind == RunReport::Kind::kDone) {
    health_.OnSuccess();
    if (run.order.estimate > core::Duration::zero()) {
      health_.OnSpeed(now - run.begun, run.order.estimate, 1.0, kEndedSpeedWeight);
    }
  } else if (kind == RunReport::Kind::kFailed) {
    health_.OnFailure();
  }
  EndRun(ended.id, kind, now);
}

void RunExecutor::OnRunning(const RunningRun& running, core::TimePoint now) {
  const auto it = runs_.find(running.id);
  if (it == runs_.end()) {
    // It has been given up here, so it must not go on.
    worker_.StopRun(running.id);
    return;
  }
  Run& run = it->second;
  if (running.percent > run.percent) run.progressed = now;
  run.percent = running.percent;
  run.missed = 0;
  run.listed = true;
  if (run.state == RunState::kRunning) ReportLaggard(run, now);
}

void RunExecutor::ReportLaggard(Run& run, core::TimePoint now) {
  const core::Duration estimate = run.order.estimate;
  const core::Duration elapsed = now - run.begun;
  if (estimate == core::Duration::zero() || elapsed < kLaggardLeast) return;
  if (now - run.reported < kLaggardInterval) return;
  constexpr int kWhole = 100;
  const int percent = std::clamp(run.percent, 1, kWhole);
  const core::Duration length = elapsed * kWhole / percent;
  if (length < estimate * kLaggardPercent / kWhole + kLaggardLeast) return;
  run.reported = now;
  // Only what no error of an estimate explains says something of the backend
  // server before the run has ended.
  if (length > estimate * kSlowFactor) {
    health_.OnSpeed(elapsed, estimate, static_cast<double>(percent) / kWhole, kRunningSpeedWeight);
  }
  // A run that is long by itself would be as long elsewhere. It is reported
  // only where the backend server is to blame.
  const bool stalled = now - run.progressed >= kStallTime;
  const bool slow = health_.slowness() >= kSlownessNoise;
  if (run.owner.empty() || (!stalled && !slow)) return;
  const core::Duration remaining =
      std::max(length - elapsed, stalled ? estimate * kStalledFactor : core::Duration(1));
  reports_.Report(run.owner, RunReport{run.order.id, RunReport::Kind::kStarted, remaining});
}

// Ends runs that the backend server no longer has: stopped ones, and others
// after two answers, since answers may overtake each other.
void RunExecutor::CheckUnlisted(const std::set<RunId>& listed, core::TimePoint now) {
  constexpr int kMissesRunning = 3;
  std::vector<RunId> over;
  for (auto& [id, run] : runs_) {
    if (listed.contains(id) || answered_round_ < run.visible_from_hold) continue;
    const bool stopped = run.state == RunState::kStopping && run.stop_answered;
    const bool running = run.state == RunState::kRunning;
    if (!stopped && !running) continue;
    ++run.missed;
    if (stopped || run.missed >= kMissesRunning) over.push_back(id);
  }
  for (const RunId& id : over) EndRun(id, RunReport::Kind::kLost, now);
}

// Hands waiting work back when the backend server has gone silent.
void RunExecutor::CheckWorkerAnswers(core::TimePoint now) {
  if (holds_.empty() || !worker_ready_) return;
  const core::TimePoint since = std::max(last_answer_, holds_.begin()->second.sent);
  if (now - since < kUnresponsive) return;
  worker_ready_ = false;
  HandBack(queue_.TakeAll(), now);
}

void RunExecutor::BeginDrain(core::TimePoint now) {
  draining_ = true;
  HandBack(queue_.TakeAll(), now);
  std::vector<WaitingOrder> waiting = std::move(waiting_);
  waiting_.clear();
  for (const WaitingOrder& it : waiting) {
    ReportFinal(it.owner, RunReport{it.order.id, RunReport::Kind::kNotRun, {}}, now);
  }
}

void RunExecutor::Advance(core::TimePoint now) {
  health_.Advance(now);
  HandBack(queue_.TakeExpired(now), now);
  while (!finals_.empty() && now - finals_.front().time > kKeepFinals) finals_.pop_front();
  if (!runs_.empty() && now > lease_until_) LoseAllRuns(now);
  CheckWorkerAnswers(now);
  for (auto& [id, run] : runs_) {
    const auto owner = owner_until_.find(run.owner);
    const bool unclaimed = run.owner.empty() && now - begun_ > kClaimTime;
    const bool silent = owner != owner_until_.end() && now > owner->second;
    if (unclaimed || silent) StopRun(run, now);
    if (run.state == RunState::kStopping && !run.stop_answered && now >= run.stop_due) {
      run.stop_due = now + tuning_.lease;
      worker_.StopRun(id);
    }
  }
  for (auto& [owner, until] : owner_until_) {
    if (now > until) HandBack(queue_.TakeOwnedBy(owner), now);
  }
  std::erase_if(waiting_, [this, now](const WaitingOrder& it) {
    const auto owner = owner_until_.find(it.owner);
    return owner != owner_until_.end() && now > owner->second;
  });
  StartQueued(now);
  MaybeHold(now);
}

const WorkerDescription& RunExecutor::Description() const {
  static const WorkerDescription unknown;
  return worker_report_ ? worker_report_->description : unknown;
}

WorkerState RunExecutor::State(core::TimePoint now) const {
  WorkerState state;
  if (!worker_report_) return state;
  state.ready = worker_ready_;
  state.draining = worker_report_->draining || draining_;
  state.free = FreeRoom();
  state.queued_work = queue_.OnTimeWork(now);
  state.late_work = queue_.LateWork(now);
  state.slowness = health_.slowness();
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
  for (const WaitingOrder& it : waiting_) {
    if (it.owner == owner) reports.push_back(RunReport{it.order.id, RunReport::Kind::kQueued, {}});
  }
  for (const Final& it : finals_) {
    if (it.owner.empty() || it.owner == owner) reports.push_back(it.report);
  }
  return reports;
}

bool RunExecutor::HasRunsOf(const std::string& owner) const {
  const bool running = std::any_of(runs_.begin(), runs_.end(),
                                   [&owner](const auto& it) { return it.second.owner == owner; });
  const bool queued = std::any_of(queue_.items().begin(), queue_.items().end(),
                                  [&owner](const auto& it) { return it.owner == owner; });
  return running || queued || !waiting_.empty();
}

}  // namespace coltsfoottide::direct
