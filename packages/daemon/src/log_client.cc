#include "coltsfoottide/daemon/log_client.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QJsonValue>
#include <chrono>
#include <utility>

#include "coltsfoottide/daemon/qt_post.h"
#include "coltsfoottide/http/client.h"

namespace coltsfoottide::daemon {
namespace {

constexpr int kLogConnections = 4;
constexpr std::chrono::milliseconds kReadTimeout = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kAppendTimeout = std::chrono::seconds(2);

QJsonObject ParseObject(const std::string& json) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(json)).object();
}

// Reads a non-negative integer field.
std::optional<std::uint64_t> Number(const QJsonObject& object, const char* name) {
  const QJsonValue value = object.value(QLatin1String(name));
  if (!value.isDouble() || value.toDouble() < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(value.toInteger());
}

}  // namespace

std::optional<std::uint64_t> ParseAppendReply(const std::string& json) {
  return Number(ParseObject(json), "offset");
}

std::optional<core::LogBatch> ParseLogBatch(const std::string& json) {
  const QJsonObject object = ParseObject(json);
  const auto first = Number(object, "first");
  const auto next = Number(object, "next");
  if (!first || !next || !object.value(QLatin1String("records")).isArray()) {
    return std::nullopt;
  }
  core::LogBatch batch{*first, *next, {}};
  const QJsonArray records = object.value(QLatin1String("records")).toArray();
  for (const QJsonValue item : records) {
    const auto offset = Number(item.toObject(), "offset");
    if (!offset) {
      return std::nullopt;
    }
    const QByteArray data =
        QByteArray::fromBase64(item.toObject().value(QLatin1String("data")).toString().toLatin1());
    batch.records.push_back({*offset, data.toStdString()});
  }
  return batch;
}

LogClient::LogClient(std::string url, LogClientCallbacks callbacks)
    : url_(std::move(url)),
      callbacks_(std::move(callbacks)),
      client_(http::MakeClient(kLogConnections)) {}

LogClient::~LogClient() = default;

void LogClient::Append(std::uint64_t request, const std::string& record) {
  PostToQt([this, client = client_, request, record] {
    client->Post(url_ + "/v1/append", {{"content-type", "application/octet-stream"}}, record,
                 kAppendTimeout, [this, request](const http::ClientResponse& response) {
                   callbacks_.on_append(request, response.status == 200
                                                     ? ParseAppendReply(response.body)
                                                     : std::nullopt);
                 });
  });
}

void LogClient::Read(std::uint64_t request, std::uint64_t from, std::uint32_t max_records) {
  PostToQt([this, client = client_, request, from, max_records] {
    client->Get(
        url_ + "/v1/read?from=" + std::to_string(from) + "&max=" + std::to_string(max_records),
        kReadTimeout, [this, request](const http::ClientResponse& response) {
          callbacks_.on_read(request,
                             response.status == 200 ? ParseLogBatch(response.body) : std::nullopt);
        });
  });
}

}  // namespace coltsfoottide::daemon
