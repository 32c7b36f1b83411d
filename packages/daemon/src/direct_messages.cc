#include "direct_messages.h"

#include <algorithm>
#include <chrono>

namespace coltsfoottide::daemon {

namespace {

void WriteResources(const direct::Resources& resources, direct_wire::Resources& message) {
  message.set_cpu_millicores(resources.cpu_millicores);
  message.set_memory_mb(resources.memory_mb);
  message.set_accelerators(resources.accelerators);
}

direct::Resources ReadResources(const direct_wire::Resources& message) {
  return {message.cpu_millicores(), message.memory_mb(), message.accelerators()};
}

// Longest duration in a message; longer ones are cut, so that sums do not overflow.
constexpr core::Duration kMaxDuration = std::chrono::hours(24);

std::uint64_t WriteDuration(core::Duration duration) {
  return static_cast<std::uint64_t>(std::max(duration, core::Duration::zero()).count());
}

core::Duration ReadDuration(std::uint64_t us) {
  const auto max = static_cast<std::uint64_t>(kMaxDuration.count());
  return core::Duration(static_cast<std::int64_t>(std::min(us, max)));
}

// Of a boot clock; only the process that wrote a time reads it as one.
std::uint64_t WriteTime(core::TimePoint time) {
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

core::TimePoint ReadTime(std::uint64_t us) {
  return core::TimePoint(core::Duration(static_cast<std::int64_t>(us)));
}

// The outcomes that verdicts and releases carry: those that later submissions get as well.
std::optional<direct::JobOutcome> ReadOutcome(std::uint32_t kind, const std::string& reason) {
  using Kind = direct::JobOutcome::Kind;
  for (const Kind it : {Kind::kCompleted, Kind::kFailed}) {
    if (kind == static_cast<std::uint32_t>(it)) return direct::JobOutcome{it, reason, {}};
  }
  return std::nullopt;
}

}  // namespace

void AddOrder(const direct::RunOrder& order, core::TimePoint now, direct_wire::Frame& frame) {
  direct_wire::OrderGroup* group = nullptr;
  for (direct_wire::OrderGroup& it : *frame.mutable_orders()) {
    const bool same = it.job() == order.id.task.job && it.step() == order.id.task.step &&
                      it.submission() == order.id.submission && it.expedited() == order.expedited &&
                      it.incarnation() == order.incarnation;
    if (same) group = &it;
  }
  if (group == nullptr) {
    group = frame.add_orders();
    group->set_job(order.id.task.job);
    group->set_step(order.id.task.step);
    group->set_payload(order.payload);
    WriteResources(order.need, *group->mutable_need());
    group->set_estimate_us(static_cast<std::uint32_t>(order.estimate.count()));
    group->set_objective_in_us((order.objective - now).count());
    group->set_useful_for_us((order.useful_until - now).count());
    group->set_expedited(order.expedited);
    group->set_submission(order.id.submission);
    group->set_priority(order.priority);
    group->set_incarnation(order.incarnation);
    group->set_route(order.route);
  }
  direct_wire::OrderGroup::Task* task = group->add_tasks();
  task->set_index(order.id.task.index);
  task->set_number(order.id.number);
}

direct::RunOrder ReadOrder(const direct_wire::OrderGroup& group,
                           const direct_wire::OrderGroup::Task& task, core::TimePoint now) {
  direct::RunOrder order;
  order.id = {{group.job(), group.step(), task.index()}, task.number(), group.submission()};
  order.payload = group.payload();
  order.need = ReadResources(group.need());
  order.estimate = core::Duration(group.estimate_us());
  order.objective = now + core::Duration(group.objective_in_us());
  order.useful_until = now + core::Duration(group.useful_for_us());
  order.expedited = group.expedited();
  order.priority = group.priority();
  order.incarnation = group.incarnation();
  order.route = group.route();
  return order;
}

void WriteRunId(const direct::RunId& id, direct_wire::RunId& message) {
  message.set_job(id.task.job);
  message.set_step(id.task.step);
  message.set_index(id.task.index);
  message.set_number(id.number);
  message.set_submission(id.submission);
}

direct::RunId ReadRunId(const direct_wire::RunId& message) {
  return {{message.job(), message.step(), message.index()}, message.number(), message.submission()};
}

void WriteReport(const direct::RunReport& report, direct_wire::RunReport& message) {
  WriteRunId(report.id, *message.mutable_id());
  message.set_kind(static_cast<std::uint32_t>(report.kind));
  message.set_remaining_us(static_cast<std::uint64_t>(report.remaining.count()));
}

direct::RunReport ReadReport(const direct_wire::RunReport& message) {
  constexpr auto kLast = static_cast<std::uint32_t>(direct::RunReport::Kind::kNumberUsed);
  const std::uint32_t kind = std::min(message.kind(), kLast);
  return {ReadRunId(message.id()), static_cast<direct::RunReport::Kind>(kind),
          core::Duration(static_cast<std::int64_t>(message.remaining_us()))};
}

void WriteClaim(const direct::RunId& id, const direct::Resources& need, direct_wire::Frame& frame) {
  WriteRunId(id, *frame.add_claims());
  WriteResources(need, *frame.add_claim_needs());
}

std::optional<direct::Resources> ReadClaimNeed(const direct_wire::Frame& frame, int position) {
  if (frame.claim_needs_size() != frame.claims_size()) return std::nullopt;
  return ReadResources(frame.claim_needs(position));
}

void WriteJobClaim(const direct::JobClaim& claim, direct_wire::JobClaim& message) {
  message.set_job(claim.job);
  message.set_number(claim.number);
  message.set_held(claim.held);
  message.set_wait_us(WriteDuration(claim.wait));
  message.set_sent_us(WriteTime(claim.sent_at));
}

direct::JobClaim ReadJobClaim(const direct_wire::JobClaim& message) {
  return {message.job(), message.number(), message.held(), ReadDuration(message.wait_us()),
          ReadTime(message.sent_us())};
}

void WriteVerdict(const direct::ClaimVerdict& verdict, direct_wire::ClaimVerdict& message) {
  message.set_job(verdict.job);
  message.set_number(verdict.number);
  message.set_kind(static_cast<std::uint32_t>(verdict.kind));
  message.set_complete(verdict.complete);
  message.set_holder(verdict.holder);
  message.set_claim_sent_us(WriteTime(verdict.claim_sent_at));
  if (verdict.kind != direct::ClaimVerdict::Kind::kEnded) return;
  message.set_outcome(static_cast<std::uint32_t>(verdict.outcome.kind));
  message.set_reason(verdict.outcome.reason);
}

std::optional<direct::ClaimVerdict> ReadVerdict(const direct_wire::ClaimVerdict& message) {
  using Kind = direct::ClaimVerdict::Kind;
  direct::ClaimVerdict verdict{message.job(),
                               message.number(),
                               Kind::kTaken,
                               message.complete(),
                               message.holder(),
                               {},
                               ReadTime(message.claim_sent_us())};
  if (message.kind() > static_cast<std::uint32_t>(Kind::kEnded)) return std::nullopt;
  verdict.kind = static_cast<Kind>(message.kind());
  if (verdict.kind != Kind::kEnded) return verdict;
  const auto outcome = ReadOutcome(message.outcome(), message.reason());
  if (!outcome) return std::nullopt;
  verdict.outcome = *outcome;
  return verdict;
}

void WriteRelease(const direct::ClaimRelease& release, direct_wire::ClaimRelease& message) {
  message.set_job(release.job);
  message.set_number(release.number);
  if (!release.outcome) return;
  message.set_ended(true);
  message.set_outcome(static_cast<std::uint32_t>(release.outcome->kind));
  message.set_reason(release.outcome->reason);
}

direct::ClaimRelease ReadRelease(const direct_wire::ClaimRelease& message) {
  direct::ClaimRelease release{message.job(), message.number(), std::nullopt};
  if (message.ended()) release.outcome = ReadOutcome(message.outcome(), message.reason());
  return release;
}

void WriteRival(const direct::RivalClaim& job, direct_wire::RivalClaim& message) {
  message.set_job(job.job);
  message.set_number(job.number);
  message.set_entry(job.entry);
  message.set_held(job.held);
  message.set_wait_us(WriteDuration(job.wait));
}

direct::RivalClaim ReadRival(const direct_wire::RivalClaim& message) {
  return {message.job(), message.number(), message.entry(), message.held(),
          ReadDuration(message.wait_us())};
}

void WriteCrash(const direct::WorkerCrash& crash, core::TimePoint now,
                direct_wire::WorkerCrash& message) {
  message.set_incarnation(crash.incarnation);
  message.set_age_us(WriteDuration(now - crash.time));
  message.set_kind(static_cast<std::uint32_t>(crash.kind));
  for (const direct::RunAtCrash& it : crash.runs) {
    direct_wire::WorkerCrash::Run& run = *message.add_runs();
    WriteRunId(it.id, *run.mutable_id());
    run.set_ran_for_us(WriteDuration(it.ran_for));
    run.set_confirmed(it.confirmed);
    run.set_route(it.route);
  }
}

direct::WorkerCrash ReadCrash(const direct_wire::WorkerCrash& message, core::TimePoint now) {
  direct::WorkerCrash crash;
  crash.incarnation = message.incarnation();
  crash.time = now - ReadDuration(message.age_us());
  if (message.kind() <= static_cast<std::uint32_t>(direct::WorkerCrash::Kind::kRetracted)) {
    crash.kind = static_cast<direct::WorkerCrash::Kind>(message.kind());
  }
  for (const direct_wire::WorkerCrash::Run& it : message.runs()) {
    crash.runs.push_back(
        {ReadRunId(it.id()), ReadDuration(it.ran_for_us()), it.confirmed(), it.route()});
  }
  return crash;
}

void WriteCrashingRoute(const std::string& route, core::Duration age,
                        direct_wire::CrashingRoute& message) {
  message.set_route(route);
  message.set_age_us(WriteDuration(age));
}

void WriteIsolatedRoute(const std::string& route, core::Duration age,
                        direct_wire::CrashingRoute& message) {
  WriteCrashingRoute(route, age, message);
  message.set_isolated(true);
}

core::TimePoint ReadCrashingRouteTime(const direct_wire::CrashingRoute& message,
                                      core::TimePoint now) {
  return now - ReadDuration(message.age_us());
}

void WriteDescription(const direct::WorkerDescription& description,
                      direct_wire::WorkerDescription& message) {
  message.Clear();
  message.set_service(description.service);
  message.set_data_centre(description.data_centre);
  message.set_rack(description.rack);
  for (const std::string& it : description.labels) message.add_labels(it);
  WriteResources(description.total, *message.mutable_total());
  message.set_incarnation(description.incarnation);
}

direct::WorkerDescription ReadDescription(const direct_wire::WorkerDescription& message) {
  direct::WorkerDescription description;
  description.service = message.service();
  description.data_centre = message.data_centre();
  description.rack = message.rack();
  description.labels.assign(message.labels().begin(), message.labels().end());
  description.total = ReadResources(message.total());
  description.incarnation = message.incarnation();
  return description;
}

void WriteState(const direct::WorkerState& state, direct_wire::WorkerState& message) {
  message.set_ready(state.ready);
  message.set_draining(state.draining);
  WriteResources(state.free, *message.mutable_free());
  message.set_queued_work(state.queued_work);
  message.set_late_work(state.late_work);
  std::size_t n = state.queued_by_priority.size();
  while (n > 0 && state.queued_by_priority.at(n - 1) == 0) --n;
  for (std::size_t i = 0; i < n; ++i) {
    message.add_queued_work_by_priority(state.queued_by_priority.at(i));
  }
  message.set_slowness(static_cast<float>(state.slowness));
  message.set_run_time_ratio(static_cast<float>(state.run_time_ratio));
  message.set_failure_ratio(static_cast<float>(state.failure_ratio));
}

direct::WorkerState ReadState(const direct_wire::WorkerState& message) {
  direct::WorkerState state;
  state.ready = message.ready();
  state.draining = message.draining();
  state.free = ReadResources(message.free());
  state.queued_work = message.queued_work();
  state.late_work = message.late_work();
  for (int i = 0; i < message.queued_work_by_priority_size(); ++i) {
    const auto priority = static_cast<std::uint32_t>(i);
    state.queued_by_priority.at(direct::PriorityClass(priority)) +=
        message.queued_work_by_priority(i);
  }
  state.slowness = message.slowness();
  state.run_time_ratio = message.run_time_ratio();
  state.failure_ratio = message.failure_ratio();
  return state;
}

}  // namespace coltsfoottide::daemon
