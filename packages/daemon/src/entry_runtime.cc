#include "entry_runtime.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "address.h"
#include "coltsfoottide/core/admission.h"
#include "coltsfoottide/core/config_state.h"
#include "coltsfoottide/core/directory.h"
#include "coltsfoottide/core/job_router.h"
#include "coltsfoottide/daemon/boot_clock.h"
#include "coltsfoottide/daemon/config_digest.h"
#include "coltsfoottide/daemon/endpoint.h"
#include "coltsfoottide/daemon/engine.h"
#include "coltsfoottide/daemon/hub_outbox.h"
#include "coltsfoottide/daemon/job_id.h"
#include "coltsfoottide/daemon/log_client.h"
#include "coltsfoottide/daemon/logging.h"
#include "coltsfoottide/daemon/metrics.h"
#include "coltsfoottide/daemon/qt_post.h"
#include "coltsfoottide/daemon/random_id.h"
#include "coltsfoottide/link/link_hub.h"
#include "coltsfoottide/schema/errors.h"
#include "coltsfoottide/schema/validation.h"
#include "component_metrics.h"
#include "engine_hub.h"

namespace coltsfoottide::daemon {
namespace {

constexpr core::Duration kViewInterval = std::chrono::milliseconds(200);
constexpr core::Duration kRebalanceInterval = std::chrono::milliseconds(500);
// Shortest time between the stop signal and the exit, so that the removal from
// the roster is appended to the log and queued answers are sent.
constexpr core::Duration kMinStopTime = std::chrono::milliseconds(500);

// The ticket of a request, or null for requests without one.
const api::Ticket* TicketOf(const ApiRequest& request) {
  return std::visit(
      [](const auto& message) -> const api::Ticket* {
        if constexpr (requires { message.ticket(); }) {
          return message.has_ticket() ? &message.ticket() : nullptr;
        } else {
          return nullptr;
        }
      },
      request);
}

// Why the request's own fields are not valid, or nothing if they are.
std::optional<api::Error> ValidateRequest(const ApiRequest& request) {
  const api::Ticket* ticket = TicketOf(request);
  if (ticket != nullptr && !IsEndpoint(ticket->endpoint(), false)) {
    return schema::MakeError(api::NOT_RUN, api::INVALID_REQUEST,
                             "ticket.endpoint is not an IP number and a port");
  }
  if (const auto* submit = std::get_if<api::SubmitRequest>(&request)) {
    return schema::ValidateJob(submit->job());
  }
  if (const auto* change = std::get_if<api::ChangeConfigRequest>(&request)) {
    return schema::ValidateChange(*change);
  }
  return std::nullopt;
}

const api::Error* ErrorOf(const api::JobResponse& response) {
  return response.answer().has_error() ? &response.answer().error() : nullptr;
}

}  // namespace

EntryRuntime::EntryRuntime(Settings settings, Logger& logger, Metrics& metrics)
    : settings_(std::move(settings)),
      logger_(logger),
      metrics_(metrics),
      incarnation_(MakeRandomId()),
      view_(std::make_unique<PublishedEntryState>()) {}

EntryRuntime::~EntryRuntime() {
  if (engine_) {
    engine_->Stop();
  }
  if (hub_) {
    hub_->Close();
  }
}

std::optional<RuntimeError> EntryRuntime::Start() {
  engine_ = std::make_unique<Engine>([this](core::TimePoint now) { Tick(now); },
                                     [this] { return NextWake(); });
  auto hub = MakeEngineHub(
      settings_.listen, *engine_,
      {[this](const std::string& buf, core::TimePoint now) { OnLinkMessage(buf, now); },
       [this](const std::string& endpoint, core::TimePoint now) {
         router_->OnLinkDown(endpoint, now);
         control_->OnLinkDown(endpoint, now);
       }});
  if (auto* error = std::get_if<link::LinkError>(&hub)) {
    return RuntimeError{"listen: " + error->message};
  }
  hub_ = std::move(std::get<std::unique_ptr<link::LinkHub>>(hub));
  endpoint_ = settings_.advertise.empty() ? hub_->endpoint() : settings_.advertise;
  outbox_ = std::make_unique<HubOutbox>(*hub_, endpoint_, incarnation_);

  const auto http = ParseEndpoint(settings_.http_listen);
  auto server =
      http::MakeServer(http->address, http->port, {},
                       {[this](const http::Request& request) { OnHttp(request); },
                        [this](std::uint64_t id) {
                          open_calls_.erase(id);
                          open_call_count_ = open_calls_.size();
                          engine_->Post([this, id](core::TimePoint) { router_->Abandon(id); });
                        }});
  if (auto* error = std::get_if<http::ServerError>(&server)) {
    return RuntimeError{"http_listen: " + error->message};
  }
  server_ = std::move(std::get<std::unique_ptr<http::Server>>(server));

  log_ = std::make_unique<LogClient>(
      settings_.log_url,
      LogClientCallbacks{[this](std::uint64_t request, std::optional<std::uint64_t> offset) {
                           engine_->Post([this, request, offset](core::TimePoint now) {
                             control_->OnAppendDone(request, offset, now);
                           });
                         },
                         [this](std::uint64_t request, std::optional<core::LogBatch> batch) {
                           engine_->Post(
                               [this, request, batch = std::move(batch)](core::TimePoint now) {
                                 control_->OnReadDone(request, batch, now);
                               });
                         }});
  core::EntryControlOptions options;
  options.endpoint = endpoint_;
  options.incarnation = incarnation_;
  options.data_centre = settings_.data_centre;
  std::copy_if(settings_.entries.begin(), settings_.entries.end(),
               std::back_inserter(options.peers),
               [this](const std::string& endpoint) { return endpoint != endpoint_; });
  control_ = std::make_unique<core::EntryControl>(
      options, *log_, *outbox_, static_cast<core::ChangeSink&>(*this), MakeRandomId());
  router_ = std::make_unique<core::JobRouter>(core::JobRouterOptions(), *outbox_,
                                              static_cast<core::CallSink&>(*this), MakeRandomId());
  admission_ = std::make_unique<core::Admission>();
  logger_.Info("entry started", {{"endpoint", endpoint_},
                                 {"http", std::to_string(server_->port())},
                                 {"incarnation", std::to_string(incarnation_)},
                                 {"data_centre", settings_.data_centre}});
  engine_->Start();
  return std::nullopt;
}

void EntryRuntime::OnHttp(const http::Request& request) {
  if (request.method == "GET" && (request.path == "/healthz" || request.path == "/metrics")) {
    WriteProbe(request.id, request.path);
    return;
  }
  auto decoded = DecodeCall(request);
  if (auto* refusal = std::get_if<http::Response>(&decoded)) {
    server_->Respond(request.id, *refusal);
    return;
  }
  OnCall(request.id, std::move(std::get<ApiCall>(decoded)));
}

void EntryRuntime::WriteProbe(std::uint64_t id, const std::string& path) {
  http::Response response;
  if (path == "/metrics") {
    response.content_type = "text/plain; version=0.0.4";
    response.body = metrics_.ReportText();
  } else {
    const bool healthy =
        view_.Read([](const PublishedEntryState& view) { return view.configured && view.fresh; });
    response.status = healthy ? 200 : 503;
    response.body = healthy ? R"({"healthy":true})" : R"({"healthy":false})";
  }
  server_->Respond(id, response);
}

void EntryRuntime::OnCall(std::uint64_t id, ApiCall call) {
  OpenCall open{call.format, BootNow(), {}, api::JOB_CLASS_UNSPECIFIED, false};
  if (const auto* submit = std::get_if<api::SubmitRequest>(&call.request)) {
    open.team = submit->job().team();
    open.job_class = submit->job().job_class();
    open.awaits_answer = submit->wait();
  }
  open_calls_.emplace(id, std::move(open));
  open_call_count_ = open_calls_.size();
  if (AnswerIfInvalid(id, call) || AnswerFromView(id, call)) {
    return;
  }
  engine_->Post([this, id, request = std::move(call.request)](core::TimePoint now) {
    Dispatch(id, request, now);
  });
}

bool EntryRuntime::AnswerIfInvalid(std::uint64_t id, const ApiCall& call) {
  const auto error = ValidateRequest(call.request);
  if (!error) {
    return false;
  }
  if (std::holds_alternative<api::ChangeConfigRequest>(call.request)) {
    api::ChangeConfigResponse response;
    *response.mutable_error() = *error;
    Write(id, response, &*error);
    return true;
  }
  const api::Ticket* ticket = TicketOf(call.request);
  api::JobResponse response;
  *response.mutable_answer() =
      schema::MakeFailedAnswer(ticket == nullptr ? api::Ticket() : *ticket, *error);
  Write(id, response, &*error);
  return true;
}

bool EntryRuntime::AnswerFromView(std::uint64_t id, const ApiCall& call) {
  if (std::holds_alternative<api::GetConfigRequest>(call.request)) {
    Write(id, view_.Read([](const PublishedEntryState& view) { return view.config; }), nullptr);
    return true;
  }
  if (std::holds_alternative<api::ListWorkersRequest>(call.request)) {
    Write(id, view_.Read([](const PublishedEntryState& view) { return view.workers; }), nullptr);
    return true;
  }
  if (std::holds_alternative<api::GetMetricsRequest>(call.request)) {
    Write(id, metrics_.Report(), nullptr);
    return true;
  }
  return false;
}

void EntryRuntime::Write(std::uint64_t id, const google::protobuf::Message& message,
                         const api::Error* error) {
  const auto it = open_calls_.find(id);
  if (it == open_calls_.end()) {
    return;
  }
  const OpenCall call = std::move(it->second);
  open_calls_.erase(it);
  open_call_count_ = open_calls_.size();
  const bool written = server_->Respond(id, EncodeResponse(message, call.format, error));
  if (call.awaits_answer && error == nullptr) {
    metrics_.Observe(call.team, call.job_class, BootNow() - call.received);
  }
  if (written) {
    engine_->Post([this, id](core::TimePoint now) { router_->OnDelivered(id, now); });
  }
}

void EntryRuntime::OnLinkMessage(const std::string& buf, core::TimePoint now) {
  const auto read = ReadEnvelope(buf, *hub_, logger_);
  if (!read) {
    return;
  }
  const wire::Envelope& envelope = *read;
  if (envelope.body_case() == wire::Envelope::kProbe) {
    wire::Envelope reply;
    reply.mutable_probe_reply()->set_request(envelope.probe().request());
    outbox_->Send(envelope.from(), std::move(reply));
    return;
  }
  control_->OnMessage(envelope, now);
  router_->OnMessage(envelope, now);
}

void EntryRuntime::Dispatch(std::uint64_t id, const ApiRequest& request, core::TimePoint now) {
  if (const auto* tickets = std::get_if<api::ObtainTicketsRequest>(&request)) {
    router_->ObtainTickets(id, *tickets, now);
  } else if (const auto* submit = std::get_if<api::SubmitRequest>(&request)) {
    Submit(id, *submit, now);
  } else if (const auto* wait = std::get_if<api::WaitRequest>(&request)) {
    router_->Wait(id, *wait, now);
  } else if (const auto* cancel = std::get_if<api::CancelRequest>(&request)) {
    router_->Cancel(id, *cancel, now);
  } else if (const auto* status = std::get_if<api::StatusRequest>(&request)) {
    router_->Status(id, *status, now);
  } else if (const auto* jobs = std::get_if<api::ListJobsRequest>(&request)) {
    router_->ListJobs(id, *jobs, now);
  } else if (const auto* change = std::get_if<api::ChangeConfigRequest>(&request)) {
    logger_.Info("configuration change requested", {{"change_id", change->change_id()}});
    control_->Change(id, *change, now);
  }
}

void EntryRuntime::Submit(std::uint64_t id, const api::SubmitRequest& request,
                          core::TimePoint now) {
  std::optional<api::Error> refusal;
  if (request.has_ticket()) {
    refusal = admission_->Admit(request, control_->config(), control_->directory(), now);
  }
  if (settings_.log_level == "debug") {
    logger_.Debug("job submitted", {{"job", JobId(request.ticket())},
                                    {"team", request.job().team()},
                                    {"coordinator", request.ticket().endpoint()}});
  }
  router_->Submit(id, request, refusal, now);
}

void EntryRuntime::OnTickets(std::uint64_t call, const api::ObtainTicketsResponse& response) {
  PostToQt([this, call, response] {
    Write(call, response, response.has_error() ? &response.error() : nullptr);
  });
}

void EntryRuntime::OnJob(std::uint64_t call, const api::JobResponse& response) {
  if (const api::Error* error = ErrorOf(response)) {
    metrics_.Add("failed_" + api::Reason_Name(error->reason()) + "_total", 1);
    logger_.Info("call failed", {{"job", JobId(response.answer().ticket())},
                                 {"verdict", api::Verdict_Name(error->verdict())},
                                 {"reason", api::Reason_Name(error->reason())},
                                 {"message", error->message()}});
  }
  PostToQt([this, call, response] { Write(call, response, ErrorOf(response)); });
}

void EntryRuntime::OnJobs(std::uint64_t call, const api::ListJobsResponse& response) {
  PostToQt([this, call, response] { Write(call, response, nullptr); });
}

void EntryRuntime::OnChange(std::uint64_t call, const api::ChangeConfigResponse& response) {
  logger_.Info("configuration change answered",
               {{"version", std::to_string(response.version())},
                {"accepted", response.accepted() ? "true" : "false"},
                {"in_force", response.in_force() ? "true" : "false"},
                {"message", response.error().message()}});
  PostToQt([this, call, response] {
    Write(call, response, response.has_error() ? &response.error() : nullptr);
  });
}

void EntryRuntime::Tick(core::TimePoint now) {
  control_->Tick(now);
  router_->Tick(now);
  if (control_->directory().version() != published_directory_version_) {
    published_directory_version_ = control_->directory().version();
    router_->SetCoordinators(control_->directory().AvailableCoordinators(settings_.data_centre),
                             now);
  }
  if (now >= next_rebalance_) {
    next_rebalance_ = now + kRebalanceInterval;
    Rebalance(now);
  }
  if (now >= next_view_) {
    next_view_ = now + kViewInterval;
    PublishView(now);
    PublishMetrics();
  }
  if (leaving_) {
    FinishStopWhenIdle(now);
  }
}

core::TimePoint EntryRuntime::NextWake() const {
  return std::min({next_view_, next_rebalance_, control_->NextWake(), router_->NextWake()});
}

void EntryRuntime::Rebalance(core::TimePoint now) {
  control_->SetOwnDemand(admission_->OwnDemand(now));
  admission_->Rebalance(control_->config(), control_->PeerDemand(now), now);
}

void EntryRuntime::PublishView(core::TimePoint now) {
  const bool evidence_fresh = control_->EvidenceAge(now).has_value();
  if (evidence_fresh != evidence_fresh_) {
    logger_.Info(
        evidence_fresh ? "configuration evidence is fresh" : "configuration evidence expired",
        {{"log_readable", control_->LogReadable(now) ? "true" : "false"}});
  }
  evidence_fresh_ = evidence_fresh;
  auto view = std::make_unique<PublishedEntryState>();
  const wire::ConfigStateData state = control_->config().ToData();
  view->configured = state.next_offset() > 0;
  view->fresh = evidence_fresh;
  view->config.set_next_offset(state.next_offset());
  *view->config.mutable_items() = state.items();
  *view->config.mutable_roster() = state.roster();
  view->config.set_log_readable(control_->LogReadable(now));
  view->config.set_in_force_offset(control_->InForceNextOffset(now));
  for (api::WorkerInfo& worker : control_->directory().List(now)) {
    *view->workers.add_workers() = std::move(worker);
  }
  view_.Publish(std::move(view));
}

void EntryRuntime::PublishMetrics() {
  metrics_.Set("open_calls", open_call_count_);
  metrics_.Set("router_pending", router_->pending());
  metrics_.Set("config_offset", control_->config().next_offset());
  metrics_.Set("config_digest", ConfigDigest(control_->config()));
  metrics_.Set("evidence_fresh", evidence_fresh_ ? 1 : 0);
  metrics_.Set("known_agents", control_->directory().members().size());
  SetLinkMetrics(*outbox_, metrics_);
}

void EntryRuntime::BeginStop(std::function<void()> on_stopped) {
  server_->BeginStop();
  engine_->Post([this, on_stopped = std::move(on_stopped)](core::TimePoint now) {
    if (leaving_) {
      return;
    }
    logger_.Info("stopping", {{"open_calls", std::to_string(open_call_count_)}});
    leaving_ = true;
    on_stopped_ = on_stopped;
    stop_earliest_ = now + kMinStopTime;
    stop_deadline_ = now + settings_.drain_limit;
    control_->BeginLeave(now);
  });
}

void EntryRuntime::FinishStopWhenIdle(core::TimePoint now) {
  if (!on_stopped_) {
    return;
  }
  const bool idle = open_call_count_ == 0 && now >= stop_earliest_;
  if (!idle && now < stop_deadline_) {
    return;
  }
  logger_.Info("stopped", {{"idle", idle ? "true" : "false"}});
  // Runs after the responses already queued for the Qt thread have been written to
  // their sockets.
  PostToQt(std::exchange(on_stopped_, nullptr));
}

}  // namespace coltsfoottide::daemon
