#include "direct_agent_runtime.h"

#include <QCoreApplication>
#include <algorithm>
#include <chrono>
#include <utility>

#include "coltsfoottide/daemon/boot_clock.h"
#include "coltsfoottide/daemon/endpoint.h"
#include "coltsfoottide/daemon/logging.h"
#include "coltsfoottide/daemon/metrics.h"
#include "coltsfoottide/direct/entry_subset.h"
#include "coltsfoottide/direct/state_interval.h"
#include "coltsfoottide/platform/operator_records.h"
#include "coltsfoottide/platform/store_client.h"
#include "coltsfoottide/platform/worker_client.h"
#include "coltsfoottide/platform/worker_reports.h"
#include "direct_messages.h"
#include "direct_timing.h"
#include "overload_setting.h"

namespace coltsfoottide::daemon {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

// Interval at which the choice of entries is reviewed.
constexpr core::Duration kSubsetInterval = std::chrono::milliseconds(200);
// Shortest time between the message that announces the end of a connection and
// its end, so that orders sent meanwhile arrive.
constexpr core::Duration kLeaveDelay = std::chrono::milliseconds(400);
// Connections to chosen entries that must be open before others are given up.
constexpr std::ptrdiff_t kMinChosenLinks = 2;
// Longest delay of the first connection to an entry while the backend server is
// queried for runs that an earlier process of this agent started; the hello lists
// them. The query itself fails after 400 ms.
constexpr core::Duration kRunsKnownTimeout = std::chrono::milliseconds(500);
// Pause between queries of the store for entries, while none is connected.
constexpr core::Duration kStoreLookupInterval = std::chrono::milliseconds(1500);
constexpr core::Duration kLoadLogInterval = std::chrono::seconds(1);

std::string StripScheme(const std::string& url) {
  constexpr std::string_view kScheme = "http://";
  return url.substr(url.starts_with(kScheme) ? kScheme.size() : 0);
}

const char* KindName(direct::RunReport::Kind kind) {
  using Kind = direct::RunReport::Kind;
  switch (kind) {
    case Kind::kQueued:
      return "queued";
    case Kind::kStarted:
      return "started";
    case Kind::kDone:
      return "done";
    case Kind::kFailed:
      return "failed";
    case Kind::kLost:
      return "lost";
    case Kind::kNotRun:
      return "not_run";
    case Kind::kNumberUsed:
      break;
  }
  return "number_used";
}

const char* ResultName(direct::StartResult result) {
  using Result = direct::StartResult;
  switch (result) {
    case Result::kStarted:
      return "started";
    case Result::kNoResources:
      return "no room";
    case Result::kNumberUsed:
      return "number used";
    case Result::kLeaseExpired:
      return "too late";
    case Result::kUnhealthy:
      return "unhealthy";
    case Result::kFenced:
      return "fenced";
    case Result::kInvalid:
      return "invalid";
    case Result::kRefused:
      return "refused";
    case Result::kWorkerGone:
      return "gone";
    case Result::kUnknown:
      break;
  }
  return "no answer";
}

const char* FailureName(direct::CallFailure failure) {
  using Failure = direct::CallFailure;
  switch (failure) {
    case Failure::kRefused:
      return "refused";
    case Failure::kWorkerGone:
      return "gone";
    case Failure::kNoAnswer:
      break;
  }
  return "no answer";
}

std::int64_t UnixMs() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

}  // namespace

DirectAgentRuntime::DirectAgentRuntime(const Settings& settings, Logger& logger, Metrics& metrics)
    : settings_(settings),
      logger_(logger),
      metrics_(metrics),
      client_memory_(settings, logger, metrics),
      metrics_server_(metrics),
      incarnation_(static_cast<std::uint64_t>(UnixMs())) {}

DirectAgentRuntime::~DirectAgentRuntime() = default;

std::optional<RuntimeError> DirectAgentRuntime::Start() {
  const Endpoint own = *ParseEndpoint(settings_.listen);
  name_ = own.address;
  link_port_ = own.port;
  started_ = BootNow();
  MakeWorkerClient();
  direct::ReportSink& reports = *this;
  executor_ = std::make_unique<direct::RunExecutor>(
      direct::RunExecutor::Tuning{settings_.lease, kOwnerLease, kRunLimit,
                                  ToOverloadPolicy(settings_.overload_policy)},
      *worker_, reports);
  if (auto error = OpenServer()) return error;
  if (auto error = metrics_server_.Open(settings_.metrics_listen, client_memory_.Limits())) {
    return error;
  }
  store_ = std::make_unique<platform::StoreClient>(settings_.log_url);
  for (const std::string& it : settings_.entries) AddConfiguredEntry(ParseEndpoint(it)->address);
  store_lookup_due_ = started_ + kStoreLookupInterval;
  executor_->Begin(started_);
  QObject::connect(&tick_, &QTimer::timeout, &tick_, [this] { Tick(); });
  tick_.start(kTick);
  logger_.Info("agent started", {{"data_centre", settings_.data_centre},
                                 {"backend", settings_.backend_url},
                                 {"incarnation", std::to_string(incarnation_)}});
  return std::nullopt;
}

void DirectAgentRuntime::MakeWorkerClient() {
  platform::WorkerClient::Callbacks callbacks;
  callbacks.on_start = [this](const direct::RunId& id, direct::StartResult result) {
    if (result != direct::StartResult::kStarted) {
      metrics_.Add("starts_not_accepted", 1);
      logger_.Info("start not accepted", {{"job", id.task.job},
                                          {"task", std::to_string(id.task.index)},
                                          {"run", std::to_string(id.number)},
                                          {"result", ResultName(result)}});
    }
    executor_->OnStartResult(id, result, BootNow());
    state_changed_ = true;
  };
  callbacks.on_stop = [this](const direct::RunId& id, bool answered) {
    executor_->OnStopResult(id, answered, BootNow());
  };
  callbacks.on_lease_renewal = [this](std::uint64_t round,
                                      const std::optional<direct::LeaseRenewal>& result,
                                      direct::CallFailure failure) {
    if (!result) {
      metrics_.Add("holds_unanswered", 1);
      logger_.Warn("backend server does not answer", {{"result", FailureName(failure)}});
    }
    executor_->OnLeaseRenewal(round, result, failure, BootNow());
    state_changed_ = true;
    LogWorkerState();
  };
  callbacks.on_warning = [this](const std::string& event, const std::string& detail) {
    logger_.Warn(event, {{"detail", detail}});
  };
  callbacks.now = [] { return BootNow(); };
  worker_ = std::make_unique<platform::WorkerClient>(StripScheme(settings_.backend_url), UnixMs(),
                                                     std::move(callbacks));
}

std::optional<RuntimeError> DirectAgentRuntime::OpenServer() {
  const Endpoint endpoint = *ParseEndpoint(settings_.http_listen);
  auto server =
      http::MakeServer(endpoint.address, endpoint.port, client_memory_.Limits(),
                       {[this](const http::Request& request) { OnRequest(request); }, nullptr});
  if (auto* error = std::get_if<http::ServerError>(&server)) return RuntimeError{error->message};
  server_ = std::move(std::get<std::unique_ptr<http::Server>>(server));
  return std::nullopt;
}

void DirectAgentRuntime::OnRequest(const http::Request& request) {
  http::Response response;
  const std::string id = platform::DecodeReportId(request.path);
  if (id.empty()) {
    response.status = kNotFound;
  } else if (request.method == "PUT") {
    response.body = "{}";
    OnWorkerReport(id, request.body);
  } else if (request.method == "DELETE") {
    logger_.Info("backend server left", {{"id", id}});
    executor_->OnWorkerShutdown(id, BootNow());
    state_changed_ = true;
  } else {
    response.status = kBadRequest;
  }
  server_->Respond(request.id, response);
}

// An invalid report is acknowledged but ignored, since its sender would only
// repeat it.
void DirectAgentRuntime::OnWorkerReport(const std::string& id, const std::string& body) {
  std::string error;
  const auto report = platform::DecodeReport(id, body, error);
  if (!report) {
    logger_.Warn("report ignored", {{"id", id}, {"reason", error}});
    return;
  }
  const std::string& service = report->description.service;
  if (!settings_.service.empty() && service != settings_.service) {
    logger_.Warn("report ignored", {{"id", id}, {"reason", "of the service " + service}});
    return;
  }
  executor_->OnWorkerReport(*report, BootNow());
  LogWorkerState();
}

void DirectAgentRuntime::OnReportRefuted(const direct::WorkerReport& report) {
  logger_.Warn("report ignored", {{"id", report.id},
                                  {"life", std::to_string(report.incarnation)},
                                  {"reason", "another incarnation answers"}});
}

void DirectAgentRuntime::LogWorkerState() {
  const auto& report = executor_->worker_report();
  const direct::WorkerState state = executor_->State(BootNow());
  const std::string life = report ? std::to_string(report->incarnation) : "";
  const bool same = life == logged_life_ && state.ready == logged_state_.ready &&
                    state.draining == logged_state_.draining;
  if (same) return;
  logged_life_ = life;
  logged_state_ = state;
  state_changed_ = true;
  logger_.Info("backend server state", {{"id", report ? report->id : ""},
                                        {"life", life},
                                        {"ready", state.ready ? "yes" : "no"},
                                        {"draining", state.draining ? "yes" : "no"}});
}

void DirectAgentRuntime::AddConfiguredEntry(const std::string& name) {
  if (entries_.AddConfigured(name)) LogKnown("settings", name);
}

void DirectAgentRuntime::LogKnown(const std::string& source, const std::string& name) {
  logger_.Info("entry known", {{"entry", name}, {"source", source}});
}

void DirectAgentRuntime::ForgetEntries(core::TimePoint now) {
  for (const std::string& it : entries_.Forget(now)) {
    CloseLink(it, "forgotten");
    links_.erase(it);
    logger_.Info("entry forgotten", {{"entry", it}});
  }
}

void DirectAgentRuntime::UpdateSubset(core::TimePoint now) {
  if (now < subset_due_) return;
  subset_due_ = now + kSubsetInterval;
  ForgetEntries(now);
  subset_ = direct::ChooseEntries(name_, settings_.data_centre, entries_.Known());
  for (const std::string& it : subset_) links_.try_emplace(it);
  LeaveOthers(now);
}

void DirectAgentRuntime::LeaveOthers(core::TimePoint now) {
  const auto chosen = std::count_if(links_.begin(), links_.end(), [this](const auto& it) {
    return it.second.connected() && subset_.contains(it.first);
  });
  for (auto& [name, link] : links_) {
    if (subset_.contains(name) || chosen < kMinChosenLinks) {
      link.leaving_since.reset();
      continue;
    }
    if (!link.connected()) continue;
    if (!link.leaving_since) {
      link.leaving_since = now;
      WriteStateTo(link, now);
    } else if (now - *link.leaving_since >= kLeaveDelay && !executor_->HasRunsOf(link.owner)) {
      CloseLink(name, "not in the subset");
    }
  }
}

void DirectAgentRuntime::DialEntries(core::TimePoint now) {
  if (!executor_->runs_known() && now - started_ < kRunsKnownTimeout) return;
  for (auto& [name, link] : links_) {
    if (link.connection || !link.dials.IsDue(now) || !subset_.contains(name)) continue;
    OpenLink(name, link, now);
  }
}

void DirectAgentRuntime::OpenLink(const std::string& name, Link& link, core::TimePoint now) {
  link.dials.OnAttempt(now);
  link.last_heard = now;
  link.owner.clear();
  link.leaving_since.reset();
  link.orders_seen = 0;
  link.last_description.reset();
  FrameConnection::Events events;
  events.on_frame = [this, name](const direct_wire::Frame& frame) { OnFrame(name, frame); };
  events.on_closed = [this, name] { CloseLink(name, "closed"); };
  link.connection =
      std::make_unique<FrameConnection>(QString::fromStdString(name), link_port_, events);
}

void DirectAgentRuntime::CloseLink(const std::string& name, const std::string& reason) {
  const auto it = links_.find(name);
  if (it == links_.end() || !it->second.connection) return;
  Link& link = it->second;
  link.connection->Close();
  closed_.push_back(std::move(link.connection));
  if (link.owner.empty()) return;
  entries_.OnDisconnected(name, BootNow());
  logger_.Warn("entry lost", {{"entry", name}, {"reason", reason}});
  link.owner.clear();
}

void DirectAgentRuntime::OnFrame(const std::string& name, const direct_wire::Frame& frame) {
  const core::TimePoint now = BootNow();
  Link& link = links_.at(name);
  link.last_heard = now;
  if (frame.has_hello()) OnHello(name, link, frame.hello());
  if (frame.has_entry_list() && link.connected()) OnEntryList(name, frame.entry_list(), now);
  if (frame.has_evacuation()) OnEvacuation(frame.evacuation(), now);
  if (frame.echo_us() != 0) {
    const core::TimePoint sent{core::Duration(static_cast<std::int64_t>(frame.echo_us()))};
    executor_->OnOwnerConfirmed(link.owner, sent);
  }
  for (int i = 0; i < frame.claims_size(); ++i) {
    executor_->OnClaim(link.owner, ReadRunId(frame.claims(i)), ReadClaimNeed(frame, i));
  }
  for (const direct_wire::OrderGroup& group : frame.orders()) {
    for (const direct_wire::OrderGroup::Task& task : group.tasks()) {
      ++link.orders_seen;
      executor_->OnOrder(link.owner, ReadOrder(group, task, now), now);
    }
  }
  for (const direct_wire::RunId& it : frame.stops()) executor_->OnStop(ReadRunId(it), now);
  for (const direct_wire::RunId& it : frame.withdrawals()) {
    executor_->OnWithdraw(link.owner, ReadRunId(it), now);
  }
  for (const direct_wire::RunId& it : frame.expedites()) {
    executor_->OnExpedite(ReadRunId(it), now);
  }
  const bool work = frame.orders_size() + frame.stops_size() + frame.withdrawals_size() > 0;
  state_changed_ = state_changed_ || work;
}

void DirectAgentRuntime::OnEvacuation(const direct_wire::Evacuation& message, core::TimePoint now) {
  executor_->OnEvacuation({message.data_centres().begin(), message.data_centres().end()},
                          message.position(), now);
  LogWorkerState();
}

void DirectAgentRuntime::OnEntryList(const std::string& name, const direct_wire::EntryList& list,
                                     core::TimePoint now) {
  std::vector<direct::EntryAddress> listed;
  for (const direct_wire::EntryAddress& it : list.entries()) {
    listed.push_back({it.name(), it.data_centre()});
  }
  for (const std::string& it : entries_.OnListed(name, listed, now)) {
    LogKnown(name, it);
    subset_due_ = now;
  }
}

void DirectAgentRuntime::OnHello(const std::string& name, Link& link,
                                 const direct_wire::Hello& hello) {
  const core::TimePoint now = BootNow();
  link.owner = name + '#' + std::to_string(hello.incarnation());
  link.dials.OnConnected();
  entries_.OnConnected({name, hello.data_centre()}, now);
  logger_.Info("entry connected", {{"entry", link.owner}, {"data_centre", hello.data_centre()}});
  direct_wire::Hello& own = *link.connection->outbox().mutable_hello();
  own.set_sender(direct_wire::Hello::AGENT);
  own.set_name(name_);
  own.set_incarnation(incarnation_);
  own.set_connection(++last_hello_);
  own.set_runs_known(executor_->runs_known());
  for (const direct::RunReport& it : executor_->RunsFor(link.owner)) {
    WriteReport(it, *own.add_runs());
  }
  for (const direct::WorkerCrash& it : executor_->recent_crashes()) {
    WriteCrash(it, now, *own.add_crashes());
  }
  WriteStateTo(link, now);
}

void DirectAgentRuntime::WriteStateTo(Link& link, core::TimePoint now) {
  direct_wire::Frame& frame = link.connection->outbox();
  const direct::WorkerDescription& description = executor_->Description();
  if (!link.last_description || *link.last_description != description) {
    WriteDescription(description, *frame.mutable_description());
    link.last_description = description;
  }
  direct::WorkerState state = executor_->State(now);
  state.draining = state.draining || link.leaving_since.has_value();
  WriteState(state, *frame.mutable_worker());
  frame.set_stamp_us(static_cast<std::uint64_t>(now.time_since_epoch().count()));
  frame.set_orders_seen(link.orders_seen);
  link.last_state = now;
}

void DirectAgentRuntime::Report(const std::string& owner, const direct::RunReport& report) {
  state_changed_ = true;
  using Kind = direct::RunReport::Kind;
  if (report.kind != Kind::kStarted && report.kind != Kind::kQueued) {
    metrics_.Add(std::string("runs_") + KindName(report.kind), 1);
  }
  LogReport(owner, report);
  for (auto& [name, link] : links_) {
    if (!link.connected() || link.owner != owner) continue;
    WriteReport(report, *link.connection->outbox().add_reports());
    // The state travels in the same frame, so that the entry places its next
    // task by it.
    WriteStateTo(link, BootNow());
  }
}

void DirectAgentRuntime::ReportCrash(const direct::WorkerCrash& crash) {
  using Kind = direct::WorkerCrash::Kind;
  if (crash.kind == Kind::kRetracted) {
    metrics_.Add("backend_crashes_retracted", 1);
    logger_.Info("backend server has not crashed", {{"life", std::to_string(crash.incarnation)}});
    return SendCrash(crash);
  }
  const bool suspected = crash.kind == Kind::kSuspected;
  // Keeps the line under the size limit of a log line.
  constexpr std::size_t kMaxListedRuns = 64;
  std::string runs;
  for (std::size_t i = 0; i < std::min(crash.runs.size(), kMaxListedRuns); ++i) {
    const direct::RunId& id = crash.runs[i].id;
    if (!runs.empty()) runs += ' ';
    runs += id.task.job + '.' + std::to_string(id.task.step) + '.' + std::to_string(id.task.index) +
            '.' + std::to_string(id.number) + ':' + std::to_string(ToMs(crash.runs[i].ran_for));
    if (!crash.runs[i].confirmed) runs += '?';
  }
  metrics_.Add(suspected ? "backend_crashes_suspected" : "backend_crashes", 1);
  logger_.Warn(suspected ? "backend server refuses connections" : "backend server crashed",
               {{"life", std::to_string(crash.incarnation)},
                {"count", std::to_string(crash.runs.size())},
                {"runs", runs}});
  SendCrash(crash);
}

// Sent to all entries, since the caller may submit the job again through another one.
void DirectAgentRuntime::SendCrash(const direct::WorkerCrash& crash) {
  const core::TimePoint now = BootNow();
  for (auto& [name, link] : links_) {
    if (link.connected()) WriteCrash(crash, now, *link.connection->outbox().add_crashes());
  }
}

void DirectAgentRuntime::LogReport(const std::string& owner, const direct::RunReport& report) {
  using Kind = direct::RunReport::Kind;
  const core::TimePoint now = BootNow();
  const direct::WorkerState state = executor_->State(now);
  const auto confirmed = executor_->TimeSinceConfirmed(owner, now);
  const bool slow = report.remaining > core::Duration::zero();
  // Warnings have a line budget of their own, so that successes cannot displace
  // failures from the log.
  const bool failed = slow || report.kind == Kind::kFailed || report.kind == Kind::kLost ||
                      report.kind == Kind::kNumberUsed;
  const auto log = failed ? &Logger::Warn : &Logger::Info;
  (logger_.*log)(slow ? "run slow" : "run",
                 {{"job", report.id.task.job},
                  {"task", std::to_string(report.id.task.index)},
                  {"run", std::to_string(report.id.number)},
                  {"submission", std::to_string(report.id.submission)},
                  {"how", KindName(report.kind)},
                  {"remaining_ms", std::to_string(ToMs(report.remaining))},
                  {"free_millicores", std::to_string(state.free.cpu_millicores)},
                  {"queued_work", std::to_string(state.queued_work + state.late_work)},
                  {"slowness", std::to_string(state.slowness)},
                  {"run_time_ratio", std::to_string(state.run_time_ratio)},
                  {"entry", owner},
                  {"entry_confirmed_ms_ago", confirmed ? std::to_string(ToMs(*confirmed)) : ""}});
}

void DirectAgentRuntime::SendStates(core::TimePoint now) {
  const core::Duration min_interval = direct::MinStateInterval(entries_.size());
  bool all_sent = true;
  for (auto& [name, link] : links_) {
    if (!link.connected()) continue;
    const core::Duration since = now - link.last_state;
    const core::Duration interval =
        executor_->HasRunsOf(link.owner) ? kBusyInterval : kIdleInterval;
    const bool due = since >= interval || (state_changed_ && since >= min_interval);
    if (due) {
      WriteStateTo(link, now);
    } else {
      all_sent = false;
    }
  }
  if (all_sent) state_changed_ = false;
}

// Logs the load once a second, which shows whether a late run waited for free
// resources, and for which.
void DirectAgentRuntime::LogLoad(core::TimePoint now) {
  if (now < log_due_) return;
  log_due_ = now + kLoadLogInterval;
  const direct::WorkerState state = executor_->State(now);
  client_memory_.Report();
  metrics_.Set("worker_ready", state.ready ? 1 : 0);
  metrics_.Set("worker_free_millicores", state.free.cpu_millicores);
  metrics_.Set("queued_work", state.queued_work + state.late_work);
  std::string by_priority;
  for (std::size_t i = 0; i < direct::kPriorityClasses; ++i) {
    const std::uint64_t work = state.queued_by_priority.at(i);
    metrics_.Set("queued_work_priority_" + std::to_string(i), work);
    by_priority += (i == 0 ? "" : ",") + std::to_string(work);
  }
  constexpr double kPercent = 100;
  metrics_.Set("worker_run_time_percent",
               static_cast<std::uint64_t>(state.run_time_ratio * kPercent));
  logger_.Info("backend server load",
               {{"free_millicores", std::to_string(state.free.cpu_millicores)},
                {"millicores", std::to_string(executor_->Description().total.cpu_millicores)},
                {"queued_work", std::to_string(state.queued_work)},
                {"queued_by_priority", by_priority},
                {"late_work", std::to_string(state.late_work)},
                {"slowness", std::to_string(state.slowness)},
                {"run_time_ratio", std::to_string(state.run_time_ratio)},
                {"failure_ratio", std::to_string(state.failure_ratio)}});
}

// Asks the store for further entries when no known one is connected.
void DirectAgentRuntime::LookUpEntries(core::TimePoint now) {
  const bool connected = std::any_of(links_.begin(), links_.end(),
                                     [](const auto& it) { return it.second.connected(); });
  if (connected) store_lookup_due_ = now + kStoreLookupInterval;
  if (now < store_lookup_due_) return;
  store_lookup_due_ = now + kStoreLookupInterval;
  logger_.Warn("no entry connected, asking the store", {});
  store_->ReadNewest(platform::kEntryTopic,
                     [this](const std::optional<platform::StoreClient::Batch>& batch, bool) {
                       if (!batch) return;
                       for (const platform::KeyedRecord& it : batch->records) {
                         if (!it.value.empty() && entries_.AddHint(it.key, BootNow())) {
                           LogKnown("store", it.key);
                         }
                       }
                     });
}

void DirectAgentRuntime::Tick() {
  const core::TimePoint now = BootNow();
  closed_.clear();
  executor_->Advance(now);
  std::vector<std::string> silent;
  for (const auto& [name, link] : links_) {
    if (!link.connection) continue;
    const bool busy = !link.owner.empty() && executor_->HasRunsOf(link.owner);
    const core::Duration limit = link.owner.empty() ? link.dials.AttemptLimit()
                                 : busy             ? kBusySilence
                                                    : kIdleSilence;
    if (now - link.last_heard > limit) silent.push_back(name);
  }
  for (const std::string& it : silent) CloseLink(it, "silent");
  UpdateSubset(now);
  DialEntries(now);
  LookUpEntries(now);
  SendStates(now);
  LogLoad(now);
}

void DirectAgentRuntime::Reload(const Settings& settings) {
  for (const std::string& it : settings.entries) AddConfiguredEntry(ParseEndpoint(it)->address);
}

void DirectAgentRuntime::BeginStop(std::function<void()> on_stopped) {
  if (stopping_) return;
  stopping_ = true;
  executor_->BeginDrain(BootNow());
  state_changed_ = true;
  logger_.Info("agent stopping", {});
  // Leaves time to answer orders that were in transit when the drain began.
  constexpr std::chrono::milliseconds kMinDrainTime{100};
  GracefulStop::Plan plan;
  plan.min_time = kMinDrainTime;
  plan.limit = settings_.drain_limit;
  plan.idle = [this] { return executor_->idle(); };
  plan.on_end = [this, on_stopped = std::move(on_stopped)] {
    logger_.Info("agent stopped", {{"idle", executor_->idle() ? "yes" : "no"}});
    on_stopped();
  };
  stop_.Begin(std::move(plan));
}

}  // namespace coltsfoottide::daemon
