#include "coltsfoottide/standin/log_service.h"

#include <QJsonArray>
#include <utility>
#include <variant>

#include "coltsfoottide/standin/boot_time.h"
#include "coltsfoottide/standin/http_reply.h"

namespace coltsfoottide::standin {
namespace {

constexpr std::uint64_t kDefaultPageRecords = 1000;

QJsonObject RecordToJson(const LogRecord& record) {
  return {{"offset", static_cast<qint64>(record.offset)},
          {"data", QString::fromLatin1(QByteArray::fromStdString(record.data).toBase64())}};
}

}  // namespace

LogService::LogService(Retention retention, LogControls controls)
    : store_(retention), controls_(controls) {}

std::optional<std::string> LogService::Listen(const ListenAddress& address) {
  http::ServerCallbacks callbacks;
  callbacks.on_request = [this](http::Request request) { OnRequest(std::move(request)); };
  callbacks.on_abandoned = [](std::uint64_t) {};
  auto server = http::MakeServer(address.ip, address.port, {}, std::move(callbacks));
  if (const auto* error = std::get_if<http::ServerError>(&server)) {
    return error->message;
  }
  server_ = std::move(std::get<0>(server));
  return std::nullopt;
}

std::uint16_t LogService::port() const { return server_->port(); }

void LogService::BeginStop() { server_->BeginStop(); }

void LogService::OnRequest(http::Request request) {
  const std::string& path = request.path;
  if (path == "/control") {
    OnControl(request);
  } else if (path == "/healthz") {
    server_->Respond(request.id, JsonResponse({{"state", "serving"}}));
  } else {
    OnLogCall(std::move(request));
  }
}

void LogService::OnControl(const http::Request& request) {
  if (request.method == "POST") {
    if (const auto error = ApplyControls(request.body, &controls_)) {
      server_->Respond(request.id, ErrorResponse(400, *error));
      return;
    }
  }
  server_->Respond(request.id, JsonResponse(Report()));
}

void LogService::OnLogCall(http::Request request) {
  if (controls_.outage != Outage::kNone) {
    ++outage_calls_;
  }
  switch (controls_.outage) {
    case Outage::kError:
      server_->Respond(request.id, ErrorResponse(503, "outage"));
      return;
    case Outage::kHang:
      return;
    case Outage::kDrop:
      server_->Drop(request.id);
      return;
    case Outage::kNone:
      break;
  }
  if (controls_.slow_ms == 0) {
    Dispatch(std::move(request));
    return;
  }
  timer_queue_.After(std::chrono::milliseconds(controls_.slow_ms),
                     [this, request = std::move(request)] { Dispatch(request); });
}

void LogService::Dispatch(http::Request request) {
  const std::string& path = request.path;
  if (path == "/v1/read" && request.method == "GET") {
    Read(request);
  } else if (path == "/v1/append" && request.method == "POST") {
    Append(std::move(request));
  } else {
    server_->Respond(request.id, ErrorResponse(404, "no such call"));
  }
}

void LogService::Read(const http::Request& request) {
  ++reads_;
  const LogPage page = store_.Read(QueryNumber(request, "from", 0),
                                   QueryNumber(request, "max", kDefaultPageRecords), BootTime());
  QJsonArray records;
  for (const LogRecord& record : page.records) {
    records.append(RecordToJson(record));
  }
  server_->Respond(request.id, JsonResponse({{"first", static_cast<qint64>(page.first)},
                                             {"next", static_cast<qint64>(page.next)},
                                             {"records", records}}));
}

void LogService::Append(http::Request request) {
  if (controls_.refuse_appends > 0) {
    --controls_.refuse_appends;
    ++refused_;
    server_->Respond(request.id, ErrorResponse(503, "append refused"));
    return;
  }
  appends_.push_back({request.id, std::move(request.body)});
  if (!writing_) {
    StartNextAppend();
  }
}

void LogService::StartNextAppend() {
  writing_ = !appends_.empty();
  if (writing_) {
    timer_queue_.After(std::chrono::milliseconds(controls_.sync_ms), [this] { FinishAppend(); });
  }
}

void LogService::FinishAppend() {
  const PendingAppend append = std::move(appends_.front());
  appends_.pop_front();
  const std::uint64_t offset = store_.Append(append.data, BootTime());
  if (controls_.lose_replies > 0) {
    --controls_.lose_replies;
    ++replies_lost_;
    server_->Drop(append.request_id);
  } else {
    server_->Respond(append.request_id, JsonResponse({{"offset", static_cast<qint64>(offset)}}));
  }
  StartNextAppend();
}

QJsonObject LogService::Report() {
  const LogPage page = store_.Read(0, 0, BootTime());
  QJsonObject report = ToJson(controls_);
  report["first"] = static_cast<qint64>(page.first);
  report["next"] = static_cast<qint64>(page.next);
  report["reads"] = static_cast<qint64>(reads_);
  report["queued"] = static_cast<qint64>(appends_.size());
  report["refused"] = static_cast<qint64>(refused_);
  report["replies_lost"] = static_cast<qint64>(replies_lost_);
  report["outage_calls"] = static_cast<qint64>(outage_calls_);
  return report;
}

}  // namespace coltsfoottide::standin
