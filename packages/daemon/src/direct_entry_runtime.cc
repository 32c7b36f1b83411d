#include "direct_entry_runtime.h"

#include <time.h>

#include <QCoreApplication>
#include <QHostAddress>
#include <algorithm>
#include <chrono>
#include <utility>

#include "coltsfoottide/daemon/boot_clock.h"
#include "coltsfoottide/daemon/endpoint.h"
#include "coltsfoottide/daemon/logging.h"
#include "coltsfoottide/daemon/metrics.h"
#include "coltsfoottide/daemon/random_id.h"
#include "coltsfoottide/direct/time_bounds.h"
#include "coltsfoottide/platform/job_calls.h"
#include "coltsfoottide/platform/operator_records.h"
#include "coltsfoottide/platform/route_lookup.h"
#include "direct_messages.h"
#include "direct_timing.h"
#include "overload_setting.h"

namespace coltsfoottide::daemon {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kContentTooLarge = 413;
constexpr int kUnavailable = 503;

// The load balancer removes an entry after two failed probes, one a second.
constexpr std::chrono::milliseconds kBalancerRemovalDelay{2500};
constexpr core::Duration kRetryAfter = std::chrono::seconds(1);
constexpr core::Duration kGaugeInterval = std::chrono::seconds(1);
// Reason of refusals by direct::EntryLoad.
constexpr char kOverloaded[] = "entry overloaded";

// Processor time that this process has used since its start.
core::Duration ProcessorTime() {
  timespec ts{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  const auto used = std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
  return std::chrono::duration_cast<core::Duration>(used);
}

const char* KindName(direct::JobOutcome::Kind kind) {
  using Kind = direct::JobOutcome::Kind;
  switch (kind) {
    case Kind::kCompleted:
      return "completed";
    case Kind::kFailed:
      return "failed";
    case Kind::kNotRun:
      return "not_run";
    case Kind::kMayHaveRun:
      return "may_have_run";
    case Kind::kCancelled:
      break;
  }
  return "cancelled";
}

direct::JobDispatcher::Tuning MakeTuning(const Settings& settings) {
  direct::JobDispatcher::Tuning tuning;
  tuning.silent_agent_timeout = kOwnerLease + direct::MaxLease(settings.lease) + settings.stop_time;
  tuning.seed = std::hash<std::string>()(settings.listen);
  tuning.overload_policy = ToOverloadPolicy(settings.overload_policy);
  tuning.compare_speeds = settings.backend_speeds == "measured";
  tuning.first_submission = static_cast<std::uint32_t>(MakeRandomId());
  return tuning;
}

// Memory that a job in progress uses.
std::size_t DecodedBytes(const direct::JobRequest& job) {
  constexpr std::size_t kJobBytes = 2048;
  constexpr std::size_t kStepBytes = 512;
  constexpr std::size_t kTaskBytes = 512;
  std::size_t n = kJobBytes + job.payload.size();
  for (const direct::StepRequest& it : job.steps) n += kStepBytes + it.count * kTaskBytes;
  return n;
}

}  // namespace

DirectEntryRuntime::DirectEntryRuntime(const Settings& settings, Logger& logger, Metrics& metrics)
    : settings_(settings),
      logger_(logger),
      metrics_(metrics),
      client_memory_(settings, logger, metrics),
      metrics_server_(metrics),
      dispatcher_(MakeTuning(settings), settings.data_centre, settings.far_factor, *this),
      load_(kTick, settings.cpu_share),
      initial_view_(BootNow()),
      links_(static_cast<std::uint64_t>(BootNow().time_since_epoch().count()), settings.data_centre,
             *this, logger),
      claim_exchange_(
          ParseEndpoint(settings.advertise.empty() ? settings.listen : settings.advertise)->address,
          links_, *this, logger, metrics, BootNow()),
      claims_(claim_exchange_.claims()) {}

DirectEntryRuntime::~DirectEntryRuntime() = default;

std::optional<RuntimeError> DirectEntryRuntime::Start() {
  if (auto error = OpenServers()) return error;
  if (auto error = metrics_server_.Open(settings_.metrics_listen, client_memory_.Limits())) {
    return error;
  }
  for (const std::string& it : settings_.entries) {
    links_.AddConfiguredEntry(ParseEndpoint(it)->address);
  }
  FollowStore();
  QObject::connect(&tick_, &QTimer::timeout, &tick_, [this] { Tick(); });
  tick_.start(kTick);
  logger_.Info("entry started",
               {{"data_centre", settings_.data_centre},
                {"callers", settings_.http_listen},
                {"configuration_limit_ms", std::to_string(settings_.configuration_limit.count())}});
  return std::nullopt;
}

std::optional<RuntimeError> DirectEntryRuntime::OpenServers() {
  const Endpoint listen = *ParseEndpoint(settings_.listen);
  const bool no_advertise = settings_.advertise.empty();
  if (auto error =
          links_.Open(listen, no_advertise ? listen : *ParseEndpoint(settings_.advertise))) {
    return error;
  }
  const auto open = [](const std::string& address, const http::ServerLimits& limits,
                       http::ServerCallbacks callbacks) {
    const Endpoint endpoint = *ParseEndpoint(address);
    return http::MakeServer(endpoint.address, endpoint.port, limits, std::move(callbacks));
  };
  auto callers = open(settings_.http_listen, client_memory_.Limits(),
                      {[this](const http::Request& request) { OnRequest(request); },
                       [this](std::uint64_t id) { OnAbandoned(id); },
                       [this](std::uint64_t id) { OnInputEnded(id); }});
  if (auto* error = std::get_if<http::ServerError>(&callers)) return RuntimeError{error->message};
  caller_server_ = std::move(std::get<std::unique_ptr<http::Server>>(callers));
  auto probes =
      open(settings_.ready_listen, client_memory_.Limits(),
           {[this](const http::Request& request) { OnReadinessProbe(request); }, nullptr});
  if (auto* error = std::get_if<http::ServerError>(&probes)) return RuntimeError{error->message};
  readiness_server_ = std::move(std::get<std::unique_ptr<http::Server>>(probes));
  return std::nullopt;
}

bool DirectEntryRuntime::ready(core::TimePoint now) {
  return !stopping_ && ViewSettled(now) && links_.connected_agents() > 0;
}

bool DirectEntryRuntime::ViewSettled(core::TimePoint now) {
  if (view_.configuration() == nullptr) return false;
  const bool settled = initial_view_.Settled(links_.known_entries() > 0, now);
  if (settled && !std::exchange(view_was_settled_, true)) {
    logger_.Info("configuration settled", {{"version", ConfigurationVersion()},
                                           {"position", std::to_string(view_.next_offset())},
                                           {"age_ms", ConfigurationAge()}});
  }
  return settled;
}

void DirectEntryRuntime::OnReadinessProbe(const http::Request& request) {
  http::Response response;
  response.content_type = "text/plain";
  if (request.path == "/ready") {
    response.status = ready(BootNow()) ? kOk : kUnavailable;
  } else {
    response.status = kNotFound;
  }
  readiness_server_->Respond(request.id, response);
}

void DirectEntryRuntime::OnRequest(const http::Request& request) {
  GiveUpLapsedJobs(BootNow());
  const auto configuration = view_.configuration();
  const auto refuse = [this, &request](int status, const std::string& reason,
                                       core::Duration retry_after) {
    caller_server_->Respond(request.id, platform::EncodeRefusal(status, reason, retry_after));
    metrics_.Add("refused", 1);
    logger_.Warn("request refused", {{"path", request.path},
                                     {"status", std::to_string(status)},
                                     {"reason", reason},
                                     {"config_version", ConfigurationVersion()},
                                     {"config_age_ms", ConfigurationAge()}});
  };
  if (!ViewSettled(BootNow())) {
    return refuse(kUnavailable, "no configuration yet", kRetryAfter);
  }
  // Before the route is looked up, as a job outlives the removal of its queue.
  const auto known_job = platform::DecodeJobIdOfAnyQueue(request.path);
  if (known_job && OnJobCall(request, *known_job)) return;
  const auto host = request.headers.find("host");
  const direct::Route* route =
      host == request.headers.end()
          ? nullptr
          : platform::FindRoute(*configuration, host->second, request.path);
  if (route == nullptr) {
    // A change that was acknowledged after the confirmation is not due yet.
    if (BootNow() - view_.confirmed_at() > settings_.configuration_limit) {
      return refuse(kUnavailable, "the configuration may be out of date", kRetryAfter);
    }
    return refuse(kNotFound, "no such queue", {});
  }
  if (request.body.size() > configuration->max_body_bytes) {
    return refuse(kContentTooLarge, "the body is too large", {});
  }
  const auto job = platform::DecodeJobId(request.path, *route);
  if (!job) return refuse(kNotFound, "not a job id", {});
  OnQueueCall(request, *route, *job);
}

void DirectEntryRuntime::OnQueueCall(const http::Request& request, const direct::Route& route,
                                     const std::string& job) {
  if (!job.empty() && OnJobCall(request, job)) return;
  if (request.method == "GET") {
    caller_server_->Respond(request.id,
                            platform::EncodeWaiting(dispatcher_.CountWaiting(route.name)));
  } else if (request.method == "POST" && !job.empty()) {
    Submit(request, route, job);
  } else {
    caller_server_->Respond(request.id,
                            platform::EncodeRefusal(kMethodNotAllowed, "no such call", {}));
  }
}

bool DirectEntryRuntime::OnJobCall(const http::Request& request, const std::string& job) {
  if (request.method == "GET") {
    const bool in_progress = dispatcher_.InProgress(job) || claims_.IsPending(job);
    caller_server_->Respond(request.id,
                            in_progress ? platform::EncodeRunning() : platform::EncodeUnknownJob());
    return true;
  }
  if (request.method != "DELETE") return false;
  CancelJob(request, job);
  return true;
}

void DirectEntryRuntime::CancelJob(const http::Request& request, const std::string& job) {
  const bool pending = claims_.IsPending(job);
  const bool known = dispatcher_.InProgress(job) || pending;
  dispatcher_.Cancel(job, BootNow());
  if (pending) {
    claims_.Withdraw(job);
    Answer(job, {direct::JobOutcome::Kind::kCancelled, "cancelled", {}});
  }
  // The job may be in progress at another entry, or its request may arrive there late.
  links_.BroadcastCancel(job);
  caller_server_->Respond(
      request.id, known ? platform::EncodeOutcome({direct::JobOutcome::Kind::kCancelled, "", {}})
                        : platform::EncodeUnknownJob());
}

void DirectEntryRuntime::Submit(const http::Request& request, const direct::Route& route,
                                const std::string& job) {
  const core::TimePoint now = BootNow();
  auto decoded = platform::DecodeJob(request, job, route, now);
  if (const auto* refusal = std::get_if<http::Response>(&decoded)) {
    caller_server_->Respond(request.id, *refusal);
    metrics_.Add("refused", 1);
    logger_.Warn("job refused", {{"job", job},
                                 {"route", route.name},
                                 {"status", std::to_string(refusal->status)},
                                 {"answer", refusal->body}});
    return;
  }
  const direct::JobRequest& accepted = std::get<direct::JobRequest>(decoded);
  if (RefuseByLoad(request, accepted, now)) return;
  logger_.Info("job accepted", {{"job", job},
                                {"route", route.name},
                                {"tasks", std::to_string(accepted.steps.front().count)},
                                {"steps", std::to_string(accepted.steps.size())},
                                {"priority", std::to_string(accepted.priority)},
                                {"in_time_ms", std::to_string(ToMs(accepted.objective - now))},
                                {"deadline_ms", std::to_string(ToMs(accepted.deadline - now))},
                                {"agents", std::to_string(links_.connected_agents())},
                                {"config_version", ConfigurationVersion()}});
  caller_server_->CountDecoded(request.id, DecodedBytes(accepted));
  Submission& submission = submissions_[job];
  submission.requests.push_back(request.id);
  submission.route = route.name;
  submission.priority = accepted.priority;
  submission.submitted = now;
  jobs_by_request_[request.id] = job;
  if (claims_.IsPending(job)) return claims_.ExtendDeadline(job, accepted.deadline);
  if (dispatcher_.Knows(job, now)) {
    return dispatcher_.Submit(std::move(std::get<direct::JobRequest>(decoded)), now);
  }
  claims_.Claim(std::move(std::get<direct::JobRequest>(decoded)), now);
}

bool DirectEntryRuntime::RefuseByLoad(const http::Request& request, const direct::JobRequest& job,
                                      core::TimePoint now) {
  load_.OnRequest();
  // Others must be claimed before a refusal can say that nothing of them runs.
  if (dispatcher_.Knows(job.id, now) || !claim_exchange_.IsNew(job.id, now)) return false;
  const auto retry_after = load_.Refuse(job, now);
  if (!retry_after) return false;
  caller_server_->Respond(request.id,
                          platform::EncodeRefusal(kUnavailable, kOverloaded, *retry_after));
  metrics_.Add("jobs_not_run", 1);
  metrics_.Add(std::string("jobs_not_run_by_") + kOverloaded, 1);
  logger_.Warn("job refused", {{"job", job.id},
                               {"route", job.route},
                               {"status", std::to_string(kUnavailable)},
                               {"reason", kOverloaded},
                               {"delay_ms", std::to_string(ToMs(load_.Delay(now)))},
                               {"retry_after_ms", std::to_string(ToMs(*retry_after))}});
  return true;
}

void DirectEntryRuntime::OnInputEnded(std::uint64_t request) {
  const auto it = jobs_by_request_.find(request);
  if (it == jobs_by_request_.end()) return;
  logger_.Info("caller input ended", {{"job", it->second}});
}

void DirectEntryRuntime::OnAbandoned(std::uint64_t request) {
  const auto it = jobs_by_request_.find(request);
  if (it == jobs_by_request_.end()) return;
  const std::string job = it->second;
  jobs_by_request_.erase(it);
  Submission& submission = submissions_[job];
  std::erase(submission.requests, request);
  logger_.Info("caller gone",
               {{"job", job}, {"callers_left", std::to_string(submission.requests.size())}});
  if (!submission.requests.empty() || submission.awaited_elsewhere) return;
  if (claims_.IsPending(job)) {
    claims_.Withdraw(job);
    submissions_.erase(job);
    return;
  }
  dispatcher_.Abandon(job, BootNow());
}

void DirectEntryRuntime::GiveUpLapsedJobs(core::TimePoint now) {
  const core::TimePoint last_active = std::exchange(last_active_, now).value_or(now);
  const core::Duration pause = now - last_active;
  claim_exchange_.OnPause(pause, now);
  if (pause < kRunLimit) return claims_.EndExpired(now);
  logger_.Warn("process stood still",
               {{"ms", std::to_string(ToMs(pause))}, {"jobs", std::to_string(dispatcher_.size())}});
  dispatcher_.YieldAll(now);
}

void DirectEntryRuntime::OnJobRemoved(const std::string& job,
                                      const std::optional<direct::JobOutcome>& outcome) {
  claims_.Release(job, outcome);
}

void DirectEntryRuntime::OnClaimNeeded(direct::JobRequest request, core::TimePoint now) {
  claims_.Claim(std::move(request), now);
}

void DirectEntryRuntime::OnClaimGranted(direct::JobRequest request, core::TimePoint now) {
  const std::string job = request.id;
  // A job whose claim was not certain before. Nothing of it has been placed.
  if (!request.may_have_run && !dispatcher_.Knows(job, now)) {
    if (const auto retry_after = load_.Refuse(request, now)) {
      claims_.Release(job, std::nullopt);
      return Answer(job, {direct::JobOutcome::Kind::kNotRun, kOverloaded, *retry_after});
    }
  }
  dispatcher_.Submit(std::move(request), now);
  // The outcome was remembered, so that no run was placed.
  if (!dispatcher_.HasJob(job)) claims_.Release(job, std::nullopt);
}

void DirectEntryRuntime::OnClaimEnded(const std::string& job, const direct::JobOutcome& outcome) {
  Answer(job, outcome);
}

void DirectEntryRuntime::OnClaimLost(const std::string& job, const std::string& holder,
                                     core::TimePoint now) {
  if (!dispatcher_.Yield(job, "another entry has the job", now)) return;
  metrics_.Add("claims_lost", 1);
  logger_.Warn("claim lost", {{"job", job}, {"holder", holder}});
}

void DirectEntryRuntime::OnClaimExpired(const std::string& job, core::TimePoint now) {
  if (!dispatcher_.Yield(job, "claim not confirmed", now)) return;
  metrics_.Add("claims_expired", 1);
  logger_.Warn("claim expired", {{"job", job}});
}

void DirectEntryRuntime::OnAwaitedElsewhere(const std::string& job, const std::string& entry,
                                            core::TimePoint deadline, core::TimePoint now) {
  const auto it = submissions_.find(job);
  if (it == submissions_.end()) return;
  if (!std::exchange(it->second.awaited_elsewhere, true)) {
    const core::Duration elapsed = now - it->second.submitted;
    logger_.Warn("job submitted to another entry",
                 {{"job", job}, {"entry", entry}, {"elapsed_ms", std::to_string(ToMs(elapsed))}});
  }
  dispatcher_.ExtendDeadline(job, deadline);
}

void DirectEntryRuntime::Answer(const std::string& job, const direct::JobOutcome& outcome) {
  const auto it = submissions_.find(job);
  if (it == submissions_.end()) return;
  const http::Response response = platform::EncodeOutcome(outcome);
  int delivered = 0;
  for (const std::uint64_t request : it->second.requests) {
    if (caller_server_->Respond(request, response)) ++delivered;
    jobs_by_request_.erase(request);
  }
  const core::Duration elapsed = BootNow() - it->second.submitted;
  const std::string counter = std::string("jobs_") + KindName(outcome.kind);
  metrics_.Add(counter, 1);
  metrics_.Add(counter + "_priority_" + std::to_string(it->second.priority), 1);
  const bool served = outcome.kind == direct::JobOutcome::Kind::kCompleted;
  if (served) {
    metrics_.Observe(it->second.route, api::URGENT, elapsed);
  } else {
    metrics_.Add(counter + "_by_" + outcome.reason, 1);
  }
  // Warnings have a line budget of their own, so that successes cannot displace
  // failures from the log.
  const auto log = served ? &Logger::Info : &Logger::Warn;
  (logger_.*log)("job ended", {{"job", job},
                               {"route", it->second.route},
                               {"priority", std::to_string(it->second.priority)},
                               {"outcome", KindName(outcome.kind)},
                               {"reason", outcome.reason},
                               {"delivered", std::to_string(delivered)},
                               {"status", std::to_string(response.status)},
                               {"expected_wait_ms", std::to_string(ToMs(outcome.expected_wait))},
                               {"retry_after_ms", std::to_string(ToMs(outcome.retry_after))},
                               {"elapsed_ms", std::to_string(ToMs(elapsed))},
                               {"in_progress", std::to_string(dispatcher_.size())},
                               {"config_version", ConfigurationVersion()}});
  submissions_.erase(it);
}

void DirectEntryRuntime::SendOrder(const std::string& agent, const direct::RunOrder& order) {
  if (auto* frame = links_.FrameTo(agent)) AddOrder(order, BootNow(), *frame);
}

void DirectEntryRuntime::OnPlaced(const std::string& job,
                                  const std::vector<direct::PlacedTask>& placed,
                                  core::TimePoint now) {
  // Keeps the line of the largest jobs under the size limit of a log line.
  constexpr std::size_t kMaxListedTasks = 64;
  core::Duration max_wait{};
  core::Duration max_run_time{};
  core::Duration max_age{};
  std::string tasks;
  for (std::size_t i = 0; i < placed.size(); ++i) {
    const direct::PlacementChoice& choice = placed[i].choice;
    max_wait = std::max(max_wait, choice.start_delay);
    max_run_time = std::max(max_run_time, choice.run_time);
    max_age = std::max(max_age, now - choice.state_time);
    if (i >= kMaxListedTasks) continue;
    const direct::RunId& id = placed[i].id;
    if (!tasks.empty()) tasks += ' ';
    tasks += std::to_string(id.task.step) + '.' + std::to_string(id.task.index) + '.' +
             std::to_string(id.number) + '@' + choice.agent;
  }
  logger_.Info("tasks placed", {{"job", job},
                                {"count", std::to_string(placed.size())},
                                {"tasks", tasks},
                                {"expected_wait_ms", std::to_string(ToMs(max_wait))},
                                {"expected_run_ms", std::to_string(ToMs(max_run_time))},
                                {"state_age_ms", std::to_string(ToMs(max_age))}});
}

void DirectEntryRuntime::SendStop(const std::string& agent, const direct::RunId& id) {
  LogRunEvent("run stopped", agent, id);
  if (auto* frame = links_.FrameTo(agent)) WriteRunId(id, *frame->add_stops());
}

void DirectEntryRuntime::SendWithdraw(const std::string& agent, const direct::RunId& id) {
  LogRunEvent("run withdrawn", agent, id);
  if (auto* frame = links_.FrameTo(agent)) WriteRunId(id, *frame->add_withdrawals());
}

void DirectEntryRuntime::LogRunEvent(std::string_view event, const std::string& agent,
                                     const direct::RunId& id) {
  logger_.Info(event, {{"job", id.task.job},
                       {"task", std::to_string(id.task.index)},
                       {"run", std::to_string(id.number)},
                       {"submission", std::to_string(id.submission)},
                       {"agent", agent}});
}

void DirectEntryRuntime::SendExpedite(const std::string& agent, const direct::RunId& id) {
  if (auto* frame = links_.FrameTo(agent)) WriteRunId(id, *frame->add_expedites());
}

void DirectEntryRuntime::OnRunTakenAsOver(const std::string& agent, const direct::RunId& id,
                                          const std::string& reason) {
  metrics_.Add("runs_taken_as_over", 1);
  logger_.Warn("run taken as over", {{"job", id.task.job},
                                     {"task", std::to_string(id.task.index)},
                                     {"run", std::to_string(id.number)},
                                     {"submission", std::to_string(id.submission)},
                                     {"agent", agent},
                                     {"reason", reason}});
}

void DirectEntryRuntime::OnCrashVerdict(const direct::CrashVerdict& verdict, std::size_t crashes) {
  const direct::TaskId& task = verdict.task;
  metrics_.Add("crashing_tasks", 1);
  logger_.Warn("task crashes backend servers", {{"job", task.job},
                                                {"step", std::to_string(task.step)},
                                                {"task", std::to_string(task.index)},
                                                {"crashes", std::to_string(crashes)},
                                                {"proven", verdict.proven ? "yes" : "no"}});
}

void DirectEntryRuntime::OnCrashingRoute(const std::string& route) {
  direct_wire::CrashingRoute message;
  WriteCrashingRoute(route, core::Duration::zero(), message);
  links_.BroadcastCrashingRoute(message);
}

void DirectEntryRuntime::OnIsolationChanged(const std::string& route,
                                            const std::set<std::string>& agents) {
  std::string names;
  for (const std::string& it : agents) names += (names.empty() ? "" : ",") + it;
  logger_.Warn(agents.empty() ? "route no longer isolated" : "route isolated",
               {{"route", route}, {"agents", names}});
}

void DirectEntryRuntime::SendClaim(const std::string& agent, const direct::RunId& id,
                                   const direct::Resources& need) {
  if (auto* frame = links_.FrameTo(agent)) WriteClaim(id, need, *frame);
}

void DirectEntryRuntime::OnAgentConnected(const direct::AgentHello& hello, core::TimePoint now) {
  GiveUpLapsedJobs(now);
  dispatcher_.OnAgentHello(hello, now);
}

void DirectEntryRuntime::OnAgentFrame(const std::string& agent, const direct_wire::Frame& frame,
                                      core::TimePoint now) {
  GiveUpLapsedJobs(now);
  if (frame.has_description()) {
    dispatcher_.OnWorkerDescription(agent, ReadDescription(frame.description()));
  }
  if (frame.has_worker()) {
    dispatcher_.OnWorkerState(agent, ReadState(frame.worker()), frame.orders_seen(), now);
  }
  for (const direct_wire::WorkerCrash& it : frame.crashes()) {
    dispatcher_.OnWorkerCrash(agent, ReadCrash(it, now), now);
  }
  for (const direct_wire::RunReport& report : frame.reports()) {
    dispatcher_.OnReport(agent, ReadReport(report), now);
  }
}

void DirectEntryRuntime::OnAgentLost(const std::string& agent, core::TimePoint last_heard) {
  GiveUpLapsedJobs(BootNow());
  dispatcher_.OnAgentLost(agent, last_heard);
}

void DirectEntryRuntime::OnPeerConnected(const std::string& entry, bool records_claims,
                                         direct_wire::Frame& frame, core::TimePoint now) {
  GiveUpLapsedJobs(now);
  stale_records_.OnConnected(entry);
  claim_exchange_.OnPeerConnected(entry, records_claims, now);
  for (const auto& [route, last_crash] : dispatcher_.IsolatedRoutes(now)) {
    WriteIsolatedRoute(route, now - last_crash, *frame.add_crashing_routes());
  }
  for (const auto& [route, found] : dispatcher_.RecentCrashingRoutes(now)) {
    WriteCrashingRoute(route, now - found, *frame.add_crashing_routes());
  }
  for (const std::string& it : dispatcher_.RecentCancels(now)) frame.add_cancels(it);
}

void DirectEntryRuntime::OnPeerStamp(const std::string& entry, direct_wire::Frame& frame) {
  claim_exchange_.OnPeerStamp(entry, frame);
}

void DirectEntryRuntime::OnPeerLost(const std::string& entry, core::TimePoint now) {
  GiveUpLapsedJobs(now);
  claim_exchange_.OnPeerLost(entry, now);
}

void DirectEntryRuntime::OnEntryForgotten(const std::string& entry) {
  stale_records_.OnForgotten(entry);
}

void DirectEntryRuntime::OnPeerFrame(const std::string& entry, const direct_wire::Frame& frame,
                                     core::TimePoint now) {
  GiveUpLapsedJobs(now);
  claim_exchange_.OnPeerFrame(entry, frame, now);
}

void DirectEntryRuntime::OnPeerCancel(const std::string& job, core::TimePoint now) {
  if (dispatcher_.InProgress(job)) logger_.Info("job cancelled by a peer", {{"job", job}});
  dispatcher_.Cancel(job, now);
}

void DirectEntryRuntime::OnPeerCrashingRoute(const direct_wire::CrashingRoute& message,
                                             core::TimePoint now) {
  const core::TimePoint time = ReadCrashingRouteTime(message, now);
  if (message.isolated()) {
    dispatcher_.OnPeerIsolation(message.route(), time, now);
  } else {
    dispatcher_.OnCrashingRoute(message.route(), time, now);
  }
}

void DirectEntryRuntime::OnPeerConfiguration(const std::string& entry,
                                             const direct_wire::Configuration& message,
                                             core::TimePoint /*now*/) {
  const auto configuration = platform::DecodeConfiguration(message.text());
  if (!configuration) {
    logger_.Warn("configuration ignored", {{"source", "entry " + entry}, {"reason", "invalid"}});
    return;
  }
  initial_view_.OnPeerView();
  const std::set<std::string> evacuated(message.evacuated().begin(), message.evacuated().end());
  if (view_.OnPeerView(*configuration, evacuated, message.position())) {
    return OnViewChanged("entry " + entry);
  }
  const auto in_force = view_.configuration();
  if (configuration->version < in_force->version) {
    logger_.Info("configuration ignored", {{"source", "entry " + entry},
                                           {"reason", "older"},
                                           {"version", std::to_string(configuration->version)},
                                           {"in_force", std::to_string(in_force->version)},
                                           {"position", std::to_string(message.position())}});
  }
}

std::string DirectEntryRuntime::ConfigurationVersion() const {
  const auto configuration = view_.configuration();
  return configuration ? std::to_string(configuration->version) : "none";
}

std::string DirectEntryRuntime::ConfigurationAge() const {
  const bool confirmed = view_.confirmed_at() != core::TimePoint();
  return confirmed ? std::to_string(ToMs(BootNow() - view_.confirmed_at())) : "none";
}

void DirectEntryRuntime::OnViewChanged(const std::string& source) {
  dispatcher_.SetEvacuated(view_.evacuated());
  if (const auto configuration = view_.configuration()) {
    caller_server_->SetMaxBodyBytes(configuration->max_body_bytes);
  }
  std::string evacuated;
  for (const std::string& it : view_.evacuated()) evacuated += (evacuated.empty() ? "" : ",") + it;
  logger_.Info("configuration in force", {{"version", ConfigurationVersion()},
                                          {"evacuated", evacuated},
                                          {"source", source},
                                          {"position", std::to_string(view_.next_offset())},
                                          {"age_ms", ConfigurationAge()}});
  SendEvacuationToAgents();
  SendViewToPeers();
}

void DirectEntryRuntime::SendEvacuationToAgents() {
  direct_wire::Evacuation message;
  for (const std::string& it : view_.evacuated()) message.add_data_centres(it);
  message.set_position(view_.next_offset());
  links_.BroadcastEvacuation(message);
}

void DirectEntryRuntime::SendViewToPeers() {
  const auto configuration = view_.configuration();
  if (!configuration) return;
  direct_wire::Configuration message;
  message.set_version(configuration->version);
  message.set_text(configuration->text);
  for (const std::string& it : view_.evacuated()) message.add_evacuated(it);
  message.set_position(view_.next_offset());
  links_.BroadcastConfiguration(message);
}

std::vector<direct::OperatorRecord> DirectEntryRuntime::DecodeRecords(
    const platform::StoreClient::Batch& batch) {
  const auto on_invalid = [this](const std::string& record, const std::string& reason) {
    logger_.Warn("operator record ignored", {{"record", record}, {"reason", reason}});
  };
  for (const std::uint64_t it : batch.malformed) {
    on_invalid("malformed record at offset " + std::to_string(it), "no key");
  }
  return platform::DecodeOperatorRecords(batch.records, on_invalid);
}

void DirectEntryRuntime::OnStoreSnapshot(const platform::StoreClient::Batch& batch,
                                         core::TimePoint complete_at) {
  initial_view_.OnStoreView();
  if (view_.OnSnapshot(DecodeRecords(batch), batch.next, complete_at)) OnViewChanged("store");
}

void DirectEntryRuntime::OnStoreRecords(const platform::StoreClient::Batch& batch,
                                        core::TimePoint complete_at) {
  if (view_.OnRecords(DecodeRecords(batch), batch.next, complete_at)) OnViewChanged("store");
}

void DirectEntryRuntime::FollowStore() {
  store_ = std::make_unique<platform::StoreClient>(settings_.log_url);
  const auto log_outdated = [this](std::uint64_t end, std::uint64_t expected) {
    logger_.Warn("store answer outdated",
                 {{"end", std::to_string(end)}, {"expected", std::to_string(expected)}});
  };
  TopicFollower::Events events;
  events.on_snapshot = [this](const platform::StoreClient::Batch& batch,
                              core::TimePoint complete_at) { OnStoreSnapshot(batch, complete_at); };
  events.on_records = [this](const platform::StoreClient::Batch& batch,
                             core::TimePoint complete_at) { OnStoreRecords(batch, complete_at); };
  events.on_outdated = log_outdated;
  events.on_reachable = [this](bool reachable) {
    logger_.Warn(reachable ? "store regained" : "store lost", {});
    if (reachable && !announced_ && !stopping_) Announce();
  };
  operator_topic_ = std::make_unique<TopicFollower>(*store_, platform::kOperatorTopic, events);
  operator_topic_->Begin();
  TopicFollower::Events entry_events;
  entry_events.on_snapshot = [this](const platform::StoreClient::Batch& batch, core::TimePoint) {
    for (const platform::KeyedRecord& it : batch.records) OnEntryRecord(it.key, it.value);
  };
  entry_events.on_records = entry_events.on_snapshot;
  entry_events.on_outdated = log_outdated;
  entry_events.on_reachable = [](bool) {};
  entry_topic_ = std::make_unique<TopicFollower>(*store_, platform::kEntryTopic, entry_events);
  entry_topic_->Begin();
}

// A record without a value says that the entry has stopped.
void DirectEntryRuntime::OnEntryRecord(const std::string& name, const std::string& value) {
  stale_records_.OnRecord(name, !value.empty());
  if (!value.empty()) return links_.AddEntryHint(name);
  // The record of an earlier process of this entry, carried out late.
  if (name == links_.name() && !stopping_) announced_ = false;
}

// Appends this entry's address to the store, for entries and agents that do not
// learn it through their configured entries.
void DirectEntryRuntime::Announce() {
  announced_ = true;
  store_->Append(platform::kEntryTopic, links_.name(), "1", [this](bool done) {
    announced_ = done;
    if (!done) logger_.Warn("announcement failed", {});
  });
}

void DirectEntryRuntime::WithdrawStaleRecords(core::TimePoint now) {
  if (stale_records_.empty() || stopping_ || !operator_topic_->reachable()) return;
  for (const std::string& it :
       stale_records_.TakeDue(links_.name(), links_.ConnectedEntries(), now)) {
    logger_.Info("entry record withdrawn", {{"entry", it}});
    store_->Append(platform::kEntryTopic, it, "", [this, it](bool done) {
      if (!done) logger_.Warn("entry record not withdrawn", {{"entry", it}});
    });
  }
}

void DirectEntryRuntime::Tick() {
  const core::TimePoint now = BootNow();
  GiveUpLapsedJobs(now);
  load_.OnTick(ProcessorTime(), now);
  links_.Advance([this](const std::string& agent) { return dispatcher_.HasRunsAt(agent); }, now);
  if (!announced_ && !stopping_ && operator_topic_->reachable()) Announce();
  WithdrawStaleRecords(now);
  claim_exchange_.Advance(now);
  if (stopping_) claims_.Flush();
  dispatcher_.Advance(now);
  SetGauges(now);
}

// Publishes this process's view of jobs, peers and configuration as gauges.
void DirectEntryRuntime::SetGauges(core::TimePoint now) {
  if (now < gauges_due_) return;
  gauges_due_ = now + kGaugeInterval;
  const auto configuration = view_.configuration();
  metrics_.Set("entry_delay_ms", static_cast<std::uint64_t>(ToMs(load_.LongestDelay())));
  metrics_.Set("entry_processor_percent", load_.ProcessorPercent());
  client_memory_.Report();
  metrics_.Set("jobs_in_progress", dispatcher_.size());
  metrics_.Set("claims", claims_.size());
  metrics_.Set("claims_recorded", claim_exchange_.recorded());
  metrics_.Set("agents_connected", links_.connected_agents());
  metrics_.Set("entries_known", links_.known_entries());
  metrics_.Set("links", links_.links());
  metrics_.Set("config_version", configuration ? configuration->version : 0);
  metrics_.Set("config_age_ms", static_cast<std::uint64_t>(ToMs(now - view_.confirmed_at())));
  metrics_.Set("store_reachable", operator_topic_->reachable() ? 1 : 0);
}

void DirectEntryRuntime::Reload(const Settings& settings) {
  for (const std::string& it : settings.entries) {
    links_.AddConfiguredEntry(ParseEndpoint(it)->address);
  }
}

void DirectEntryRuntime::BeginStop(std::function<void()> on_stopped) {
  if (stopping_) return;
  stopping_ = true;
  logger_.Info("entry stopping", {{"jobs", std::to_string(dispatcher_.size())}});
  store_->Append(platform::kEntryTopic, links_.name(), "", [this](bool done) {
    if (!done) logger_.Warn("announcement not withdrawn", {});
  });
  QTimer::singleShot(kBalancerRemovalDelay, &tick_, [this, on_stopped = std::move(on_stopped)] {
    caller_server_->BeginStop();
    GracefulStop::Plan plan;
    plan.limit = settings_.drain_limit - kBalancerRemovalDelay;
    // Callers of jobs that are claimed may wait at other entries.
    plan.idle = [this] {
      return caller_server_->pending() == 0 && claims_.size() == 0 && !claims_.HasUnsent();
    };
    plan.on_end = [this, on_stopped] {
      logger_.Info("entry stopped", {{"unanswered", std::to_string(caller_server_->pending())}});
      on_stopped();
    };
    stop_.Begin(std::move(plan));
  });
}

}  // namespace coltsfoottide::daemon
