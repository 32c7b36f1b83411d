#include "coltsfoottide/standin/backend_service.h"

#include <unistd.h>

#include <utility>
#include <variant>

#include "coltsfoottide/standin/boot_time.h"
#include "coltsfoottide/standin/http_reply.h"

namespace coltsfoottide::standin {
namespace {

constexpr int kDieExitStatus = 9;
constexpr int kNotRunHttpStatus = 503;
constexpr int kFailedHttpStatus = 500;

std::string Header(const http::Request& request, const std::string& name) {
  const auto it = request.headers.find(name);
  return it == request.headers.end() ? std::string() : it->second;
}

}  // namespace

BackendService::BackendService(BackendControls controls) : controls_(controls) {}

std::optional<std::string> BackendService::Listen(const ListenAddress& address) {
  http::ServerCallbacks callbacks;
  callbacks.on_request = [this](const http::Request& request) { OnRequest(request); };
  callbacks.on_abandoned = [](std::uint64_t) {};
  auto server = http::MakeServer(address.ip, address.port, {}, std::move(callbacks));
  if (const auto* error = std::get_if<http::ServerError>(&server)) {
    return error->message;
  }
  server_ = std::move(std::get<0>(server));
  return std::nullopt;
}

std::uint16_t BackendService::port() const { return server_->port(); }

void BackendService::OnRequest(const http::Request& request) {
  const std::string& path = request.path;
  if (path == "/control") {
    OnControl(request);
  } else if (path == "/starts") {
    server_->Respond(request.id,
                     JsonResponse({{"count", static_cast<qint64>(record_.count())},
                                   {"starts", record_.ToJson(QueryNumber(request, "from", 0))}}));
  } else if (path == "/health" && controls_.hang != Hang::kAll) {
    server_->Respond(request.id, JsonResponse(Health()));
  } else if (path == "/run" && request.method == "POST") {
    Run(request);
  } else if (path != "/health") {
    server_->Respond(request.id, ErrorResponse(404, "no such call"));
  }
}

void BackendService::OnControl(const http::Request& request) {
  if (request.method == "POST") {
    if (const auto error = ApplyControls(request.body, &controls_)) {
      server_->Respond(request.id, ErrorResponse(400, *error));
      return;
    }
    if (controls_.die) {
      _exit(kDieExitStatus);
    }
  }
  server_->Respond(request.id, JsonResponse(Report()));
}

void BackendService::Run(const http::Request& request) {
  if (controls_.drop_before_start) {
    ++dropped_;
    server_->Drop(request.id);
    return;
  }
  if (running_ >= controls_.slots) {
    ++refused_;
    http::Response refusal = ErrorResponse(kNotRunHttpStatus, "no free slot");
    refusal.headers.emplace("X-Not-Run", "1");
    server_->Respond(request.id, refusal);
    return;
  }
  Start(request);
}

void BackendService::Start(const http::Request& request) {
  const TaskPayload task = ParseTaskPayload(request.body);
  TaskStart start;
  start.start_id = Header(request, "x-start-id");
  start.kind = Header(request, "x-task-kind");
  start.idempotent = Header(request, "x-idempotent");
  start.echo = task.echo;
  start.started_at = BootTime();
  const std::uint64_t number = record_.AddStart(std::move(start));
  ++running_;
  if (controls_.drop) {
    ++dropped_;
    server_->Drop(request.id);
  }
  if (controls_.hang != Hang::kNone) {
    return;
  }
  timer_queue_.After(
      task.run_time * controls_.straggle,
      [this, id = request.id, number, result = task.result] { Finish(id, number, result); });
}

void BackendService::Finish(std::uint64_t request_id, std::uint64_t number,
                            const std::string& result) {
  --running_;
  http::Response response;
  response.body = result;
  if (controls_.fail) {
    response = ErrorResponse(kFailedHttpStatus, "task failed");
  }
  record_.AddEnd(number, response.status, BootTime());
  server_->Respond(request_id, response);
}

QJsonObject BackendService::Health() const {
  return {{"state", controls_.leaving ? "leaving" : "serving"},
          {"slots", controls_.slots},
          {"lease_ms", controls_.lease_ms}};
}

QJsonObject BackendService::Report() const {
  QJsonObject report = ToJson(controls_);
  report["running"] = running_;
  report["starts"] = static_cast<qint64>(record_.count());
  report["refused"] = static_cast<qint64>(refused_);
  report["dropped"] = static_cast<qint64>(dropped_);
  return report;
}

}  // namespace coltsfoottide::standin
