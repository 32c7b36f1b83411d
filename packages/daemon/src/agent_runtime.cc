#include "agent_runtime.h"

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

#include "coltsfoottide/core/coordinator.h"
#include "coltsfoottide/core/placement.h"
#include "coltsfoottide/core/worker.h"
#include "coltsfoottide/daemon/backend_client.h"
#include "coltsfoottide/daemon/boot_clock.h"
#include "coltsfoottide/daemon/config_digest.h"
#include "coltsfoottide/daemon/endpoint.h"
#include "coltsfoottide/daemon/engine.h"
#include "coltsfoottide/daemon/hub_outbox.h"
#include "coltsfoottide/daemon/job_id.h"
#include "coltsfoottide/daemon/logging.h"
#include "coltsfoottide/daemon/metrics.h"
#include "coltsfoottide/daemon/qt_post.h"
#include "coltsfoottide/daemon/random_id.h"
#include "coltsfoottide/http/server.h"
#include "coltsfoottide/link/link_hub.h"
#include "component_metrics.h"
#include "engine_hub.h"

namespace coltsfoottide::daemon {
namespace {

constexpr std::size_t kMaxRenewedEntries = 4;
constexpr core::Duration kRenewInterval = std::chrono::seconds(1);
// Before its first configuration an agent renews more often, to start quickly.
constexpr core::Duration kFirstRenewInterval = std::chrono::milliseconds(100);
// When nothing has arrived from an entry for this long, its connection is
// replaced: the old one may lose everything without an error.
constexpr core::Duration kSilenceLimit = std::chrono::seconds(2);
constexpr core::Duration kHealthInterval = std::chrono::milliseconds(500);
constexpr core::Duration kMetricsInterval = std::chrono::seconds(1);
constexpr core::Duration kStartSampleWindow = std::chrono::seconds(10);
// What an entry has sent (candidates, ejection) is used this long after its
// last message.
constexpr core::Duration kEntryExpiry = std::chrono::seconds(10);
// Time between the end of the last work and the exit, in which unused tickets
// are still moved to a successor coordinator.
constexpr core::Duration kStopLinger = std::chrono::seconds(2);

}  // namespace

AgentRuntime::AgentRuntime(Settings settings, RuntimeHooks hooks, Logger& logger, Metrics& metrics)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      logger_(logger),
      metrics_(metrics),
      incarnation_(MakeRandomId()) {}

AgentRuntime::~AgentRuntime() {
  if (engine_) {
    engine_->Stop();
  }
  if (hub_) {
    hub_->Close();
  }
}

std::optional<RuntimeError> AgentRuntime::Start() {
  engine_ = std::make_unique<Engine>([this](core::TimePoint now) { Tick(now); },
                                     [this] { return NextWake(); });
  if (auto error = OpenLinks()) {
    return error;
  }
  if (auto error = OpenHttp()) {
    return error;
  }
  MakeBackend();
  MakeWorkerAndCoordinator();
  logger_.Info("agent started", {{"endpoint", endpoint_},
                                 {"incarnation", std::to_string(incarnation_)},
                                 {"data_centre", settings_.data_centre},
                                 {"service", settings_.service}});
  engine_->Start();
  return std::nullopt;
}

std::optional<RuntimeError> AgentRuntime::OpenLinks() {
  auto hub = MakeEngineHub(
      settings_.listen, *engine_,
      {[this](const std::string& buf, core::TimePoint now) { OnLinkMessage(buf, now); },
       [this](const std::string& endpoint, core::TimePoint now) {
         coordinator_->OnLinkDown(endpoint, now);
       }});
  if (auto* error = std::get_if<link::LinkError>(&hub)) {
    return RuntimeError{"listen: " + error->message};
  }
  hub_ = std::move(std::get<std::unique_ptr<link::LinkHub>>(hub));
  endpoint_ = settings_.advertise.empty() ? hub_->endpoint() : settings_.advertise;
  hub_outbox_ = std::make_unique<HubOutbox>(*hub_, endpoint_, incarnation_);
  outbox_ = hub_outbox_.get();
  if (hooks_.wrap_outbox) {
    wrapped_outbox_ = hooks_.wrap_outbox(*hub_outbox_);
    outbox_ = wrapped_outbox_.get();
  }
  return std::nullopt;
}

std::optional<RuntimeError> AgentRuntime::OpenHttp() {
  const auto http = ParseEndpoint(settings_.http_listen);
  auto server = http::MakeServer(http->address, http->port, {},
                                 {[this](const http::Request& request) { OnHttp(request); }, {}});
  if (auto* error = std::get_if<http::ServerError>(&server)) {
    return RuntimeError{"http_listen: " + error->message};
  }
  server_ = std::move(std::get<std::unique_ptr<http::Server>>(server));
  return std::nullopt;
}

void AgentRuntime::MakeBackend() {
  backend_ = std::make_unique<BackendClient>(
      settings_.backend_url, settings_.connections,
      BackendCallbacks{
          [this](const wire::TaskId& task, core::BackendOutcome outcome, std::string output) {
            engine_->Post([this, task, outcome, output = std::move(output)](core::TimePoint now) {
              OnBackendDone(task, outcome, output, now);
            });
          },
          [this](BackendHealth health) {
            engine_->Post([this, health](core::TimePoint now) { OnHealth(health, now); });
          }});
  if (hooks_.wrap_backend) {
    wrapped_backend_ = hooks_.wrap_backend(*backend_);
  }
}

void AgentRuntime::MakeWorkerAndCoordinator() {
  core::BackendPort& backend =
      wrapped_backend_ ? *wrapped_backend_ : static_cast<core::BackendPort&>(*backend_);
  core::WorkerOptions worker_options;
  worker_options.slots = settings_.slots;
  worker_ = std::make_unique<core::Worker>(worker_options, permission_, *outbox_, backend,
                                           MakeRandomId());
  core::CoordinatorOptions coordinator_options;
  coordinator_options.endpoint = endpoint_;
  coordinator_options.incarnation = incarnation_;
  coordinator_options.data_centre = settings_.data_centre;
  auto placement = settings_.placement == "random" ? core::MakeRandomPlacement(MakeRandomId())
                                                   : core::MakeHybridPlacement(MakeRandomId());
  coordinator_ = std::make_unique<core::Coordinator>(coordinator_options, std::move(placement),
                                                     *outbox_, MakeRandomId());
}

void AgentRuntime::OnBackendDone(const wire::TaskId& task, core::BackendOutcome outcome,
                                 const std::string& output, core::TimePoint now) {
  if (hooks_.suppress_outcome && hooks_.suppress_outcome(task, outcome)) {
    return;
  }
  worker_->OnBackendDone(task, outcome, output, now);
}

void AgentRuntime::OnLinkMessage(const std::string& buf, core::TimePoint now) {
  const auto read = ReadEnvelope(buf, *hub_, logger_);
  if (!read) {
    return;
  }
  const wire::Envelope& envelope = *read;
  switch (envelope.body_case()) {
    case wire::Envelope::kRenewed:
      OnRenewed(envelope, now);
      break;
    case wire::Envelope::kConfigFetch: {
      wire::Envelope reply;
      *reply.mutable_config_data()->mutable_state() = config_.ToData();
      outbox_->Send(envelope.from(), std::move(reply));
      break;
    }
    case wire::Envelope::kProbe: {
      wire::Envelope reply;
      reply.mutable_probe_reply()->set_request(envelope.probe().request());
      outbox_->Send(envelope.from(), std::move(reply));
      break;
    }
    default:
      if (settings_.log_level == "debug") {
        LogJobMessage(envelope);
      }
      worker_->OnMessage(envelope, now);
      coordinator_->OnMessage(envelope, now);
  }
}

void AgentRuntime::LogJobMessage(const wire::Envelope& envelope) {
  switch (envelope.body_case()) {
    case wire::Envelope::kSubmitJob:
      logger_.Debug("job received", {{"job", JobId(envelope.submit_job().ticket())},
                                     {"team", envelope.submit_job().job().team()},
                                     {"from", envelope.from()}});
      break;
    case wire::Envelope::kStart:
      logger_.Debug("start received", {{"job", JobId(envelope.start().task())},
                                       {"start", StartId(envelope.start().task())},
                                       {"from", envelope.from()}});
      break;
    case wire::Envelope::kRefused:
      logger_.Debug("start refused",
                    {{"job", JobId(envelope.refused().task())},
                     {"start", StartId(envelope.refused().task())},
                     {"reason", wire::StartRefusal_Name(envelope.refused().refusal())},
                     {"from", envelope.from()}});
      break;
    case wire::Envelope::kResult:
      logger_.Debug("result received",
                    {{"job", JobId(envelope.result().task())},
                     {"start", StartId(envelope.result().task())},
                     {"outcome", wire::TaskOutcome_Name(envelope.result().outcome())},
                     {"from", envelope.from()}});
      break;
    default:
      break;
  }
}

void AgentRuntime::OnConfig(const wire::ConfigStateData& state) {
  if (!config_.ReplaceIfNewer(state)) {
    return;
  }
  const bool out = config_.IsDataCentreOut(settings_.data_centre);
  if (out != permission_.data_centre_out()) {
    logger_.Info(out ? "data centre taken out" : "data centre returned",
                 {{"data_centre", settings_.data_centre},
                  {"config_offset", std::to_string(config_.next_offset())}});
  }
  permission_.OnConfig(config_.next_offset(), out);
}

void AgentRuntime::OnRenewed(const wire::Envelope& envelope, core::TimePoint now) {
  wire::Renewed renewed = envelope.renewed();
  if (hooks_.edit_renewed) {
    hooks_.edit_renewed(renewed);
  }
  if (renewed.has_config()) {
    OnConfig(renewed.config().state());
  }
  if (renewed.has_evidence()) {
    const core::TimePoint sent_at{core::Duration(renewed.sent_at_us())};
    const auto age = core::Duration(static_cast<core::Duration::rep>(renewed.evidence_age_us()));
    permission_.OnEvidence(sent_at - age, renewed.head_next_offset());
  }
  KnownEntry& entry = entries_[envelope.from()];
  entry.last_heard = now;
  entry.incarnation = envelope.incarnation();
  entry.ejected = renewed.ejected();
  if (renewed.has_candidates()) {
    entry.directory_version = renewed.directory_version();
    entry.candidates.assign(renewed.candidates().begin(), renewed.candidates().end());
    UpdateCandidates(now);
  }
  UpdateEjected(now);
  if (renewed.has_config()) {
    // Confirms the new configuration at once, so that the operator's change
    // counts as in force without a wait for the next renewal.
    next_renew_ = now;
  }
}

void AgentRuntime::UpdateCandidates(core::TimePoint now) {
  std::map<std::string, api::WorkerInfo> merged;
  for (const auto& [endpoint, entry] : entries_) {
    if (now - entry.last_heard > kEntryExpiry) {
      continue;
    }
    for (const api::WorkerInfo& worker : entry.candidates) {
      merged[worker.endpoint()] = worker;
    }
  }
  std::vector<api::WorkerInfo> candidates;
  candidates.reserve(merged.size());
  for (auto& [endpoint, worker] : merged) {
    candidates.push_back(std::move(worker));
  }
  coordinator_->SetCandidates(candidates, now);
}

void AgentRuntime::UpdateEjected(core::TimePoint now) {
  const bool ejected = std::any_of(entries_.begin(), entries_.end(), [now](const auto& item) {
    return item.second.ejected && now - item.second.last_heard <= kEntryExpiry;
  });
  worker_->SetEjected(ejected, now);
}

void AgentRuntime::OnHealth(BackendHealth health, core::TimePoint now) {
  if (hooks_.edit_health) {
    hooks_.edit_health(health);
  }
  lease_end_ = health.lease.count() >= 0 ? now + health.lease : core::TimePoint::max();
  const bool serving = health.serving && now < lease_end_;
  if (serving != backend_serving_) {
    logger_.Info(serving ? "backend server serves" : "backend server does not serve",
                 {{"url", settings_.backend_url}});
    next_renew_ = now;
  }
  backend_serving_ = serving;
  worker_->OnBackendHealth(serving, health.slots > 0 ? health.slots : settings_.slots, now);
}

api::WorkerInfo AgentRuntime::MakeWorkerInfo(core::TimePoint now) const {
  const wire::Load load = worker_->CurrentLoad(now);
  api::WorkerInfo info;
  info.set_endpoint(endpoint_);
  info.set_incarnation(incarnation_);
  info.set_data_centre(settings_.data_centre);
  info.set_rack(settings_.rack);
  info.set_service(settings_.service);
  info.set_slots(settings_.slots);
  info.set_busy(load.busy());
  info.set_queued(load.queued());
  info.set_state(leaving_ ? api::LEAVING : backend_serving_ ? api::SERVING : api::BACKEND_DOWN);
  info.mutable_resources()->set_cpu_millicores(settings_.cpu_millicores);
  info.mutable_resources()->set_memory_mb(settings_.memory_mb);
  info.mutable_resources()->set_accelerators(settings_.accelerators);
  info.set_config_offset(config_.next_offset());
  info.set_starts(worker_->counters().starts);
  info.set_failures(worker_->counters().failures);
  return info;
}

void AgentRuntime::SendRenewals(core::TimePoint now) {
  start_samples_.push_back({now, worker_->counters().starts, worker_->counters().failures});
  while (start_samples_.size() > 1 && now - start_samples_.front().time > kStartSampleWindow) {
    start_samples_.pop_front();
  }
  wire::Envelope envelope;
  wire::Renew& renew = *envelope.mutable_renew();
  renew.set_sent_at_us(now.time_since_epoch().count());
  *renew.mutable_info() = MakeWorkerInfo(now);
  renew.set_config_next_offset(config_.next_offset());
  renew.set_recent_starts(
      static_cast<std::uint32_t>(start_samples_.back().starts - start_samples_.front().starts));
  renew.set_recent_failures(
      static_cast<std::uint32_t>(start_samples_.back().failures - start_samples_.front().failures));
  const std::size_t n = std::min(settings_.entries.size(), kMaxRenewedEntries);
  for (std::size_t index = 0; index < n; ++index) {
    const std::string& endpoint = settings_.entries[index];
    const auto [it, inserted] = entries_.try_emplace(endpoint);
    if (inserted) {
      it->second.last_heard = now;
    }
    renew.set_directory_version(it->second.directory_version);
    renew.set_directory_of(it->second.incarnation);
    if (now - std::max(it->second.last_heard, it->second.last_reset) > kSilenceLimit) {
      it->second.last_reset = now;
      outbox_->ResetLink(endpoint);
    }
    outbox_->Send(endpoint, envelope);
  }
}

void AgentRuntime::Tick(core::TimePoint now) {
  if (now >= next_health_) {
    next_health_ = now + kHealthInterval;
    backend_->CheckHealth();
  }
  if (backend_serving_ && now >= lease_end_) {
    OnHealth({}, now);
  }
  if (now >= next_renew_) {
    next_renew_ = now + (config_.next_offset() == 0 ? kFirstRenewInterval : kRenewInterval);
    SendRenewals(now);
  }
  worker_->Tick(now);
  coordinator_->Tick(now);
  if (now >= next_metrics_) {
    next_metrics_ = now + kMetricsInterval;
    PublishMetrics(now);
  }
  if (leaving_) {
    FinishStopWhenIdle(now);
  }
}

core::TimePoint AgentRuntime::NextWake() const {
  return std::min({next_renew_, next_health_, next_metrics_, lease_end_, worker_->NextWake(),
                   coordinator_->NextWake()});
}

void AgentRuntime::PublishMetrics(core::TimePoint now) {
  SetWorkerMetrics(worker_->counters(), metrics_);
  metrics_.Set("worker_running", worker_->running());
  SetCoordinatorMetrics(coordinator_->counters(), metrics_);
  SetLinkMetrics(*hub_outbox_, metrics_);
  metrics_.Set("config_offset", config_.next_offset());
  metrics_.Set("config_digest", ConfigDigest(config_));
  const bool permitted = permission_.Permits(now);
  metrics_.Set("start_permitted", permitted ? 1 : 0);
  if (permitted != starts_permitted_) {
    logger_.Info(permitted ? "starts permitted" : "starts not permitted", {});
  }
  starts_permitted_ = permitted;
  healthy_ = permitted && backend_serving_;
}

void AgentRuntime::OnHttp(const http::Request& request) {
  http::Response response;
  if (request.path == "/healthz") {
    response.status = healthy_ ? 200 : 503;
    response.body = healthy_ ? R"({"healthy":true})" : R"({"healthy":false})";
  } else if (request.path == "/metrics") {
    response.content_type = "text/plain; version=0.0.4";
    response.body = metrics_.ReportText();
  } else {
    response.status = 404;
    response.body = R"({"error":"unknown path; an agent serves /healthz and /metrics"})";
  }
  server_->Respond(request.id, response);
}

void AgentRuntime::BeginStop(std::function<void()> on_stopped) {
  engine_->Post([this, on_stopped = std::move(on_stopped)](core::TimePoint now) {
    if (leaving_) {
      return;
    }
    logger_.Info("stopping", {{"running", std::to_string(worker_->running())}});
    leaving_ = true;
    on_stopped_ = on_stopped;
    stop_deadline_ = now + settings_.drain_limit;
    worker_->BeginLeave(now);
    coordinator_->BeginLeave(now);
    SendRenewals(now);
  });
}

void AgentRuntime::FinishStopWhenIdle(core::TimePoint now) {
  if (!on_stopped_) {
    return;
  }
  if (!worker_->Idle() || !coordinator_->Idle()) {
    idle_since_ = core::TimePoint::max();
  } else if (idle_since_ == core::TimePoint::max()) {
    idle_since_ = now;
  }
  const bool idle = idle_since_ != core::TimePoint::max() && now - idle_since_ >= kStopLinger;
  if (!idle && now < stop_deadline_) {
    return;
  }
  logger_.Info("stopped", {{"idle", idle ? "true" : "false"}});
  PostToQt(std::exchange(on_stopped_, nullptr));
}

}  // namespace coltsfoottide::daemon
