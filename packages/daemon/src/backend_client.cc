#include "coltsfoottide/daemon/backend_client.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <chrono>
#include <map>
#include <utility>

#include "coltsfoottide/daemon/boot_clock.h"
#include "coltsfoottide/daemon/job_id.h"
#include "coltsfoottide/daemon/qt_post.h"
#include "coltsfoottide/http/client.h"
#include "coltsfoottide/schema/limits.h"

namespace coltsfoottide::daemon {
namespace {

constexpr std::chrono::milliseconds kHealthTimeout = std::chrono::seconds(1);
// A start that waits longer than this for the Qt thread is not sent: the process
// was paused after the start permission was checked.
constexpr core::Duration kMaxPostDelay = std::chrono::milliseconds(500);

core::BackendOutcome OutcomeOf(const http::ClientResponse& response) {
  if (response.status == 0) {
    return response.delivery == http::Delivery::kNotSent ? core::BackendOutcome::kNotRun
                                                         : core::BackendOutcome::kUnknown;
  }
  if (response.status == 200) {
    return response.body.size() <= schema::kMaxTaskResultBytes ? core::BackendOutcome::kDone
                                                               : core::BackendOutcome::kFailed;
  }
  const auto it = response.headers.find("x-not-run");
  const bool not_run = response.status == 503 && it != response.headers.end() && it->second == "1";
  return not_run ? core::BackendOutcome::kNotRun : core::BackendOutcome::kFailed;
}

std::string OutputOf(const http::ClientResponse& response) {
  if (response.status == 0) {
    return response.error;
  }
  if (response.status == 200 && response.body.size() > schema::kMaxTaskResultBytes) {
    return "the result is larger than 64 KB";
  }
  return response.body.substr(0, schema::kMaxTaskResultBytes);
}

BackendHealth HealthOf(const http::ClientResponse& response) {
  if (response.status != 200) {
    return {};
  }
  const QJsonObject object =
      QJsonDocument::fromJson(QByteArray::fromStdString(response.body)).object();
  BackendHealth health;
  health.serving = object.value(QLatin1String("state")).toString() == QLatin1String("serving");
  health.slots = static_cast<std::uint32_t>(object.value(QLatin1String("slots")).toInt(0));
  health.lease = std::chrono::milliseconds(object.value(QLatin1String("lease_ms")).toInteger(-1));
  return health;
}

}  // namespace

BackendClient::BackendClient(std::string url, std::uint32_t connections, BackendCallbacks callbacks)
    : url_(std::move(url)),
      callbacks_(std::move(callbacks)),
      client_(http::MakeClient(static_cast<int>(connections))),
      health_client_(http::MakeClient(1)) {}

BackendClient::~BackendClient() = default;

void BackendClient::Run(const wire::Start& start, core::Duration time_limit) {
  std::map<std::string, std::string> headers = {
      {"content-type", "application/octet-stream"},
      {"x-start-id", StartId(start.task())},
      {"x-task-kind", start.kind()},
      {"x-idempotent", start.idempotent() ? "1" : "0"},
  };
  const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(time_limit);
  PostToQt([this, client = client_, headers = std::move(headers), payload = start.payload(),
            task = start.task(), limit, posted_at = BootNow()] {
    if (BootNow() - posted_at > kMaxPostDelay) {
      callbacks_.on_done(task, core::BackendOutcome::kNotRun, {});
      return;
    }
    client->Post(url_ + "/run", headers, payload, limit,
                 [this, task](const http::ClientResponse& response) {
                   callbacks_.on_done(task, OutcomeOf(response), OutputOf(response));
                 });
  });
}

void BackendClient::CheckHealth() {
  PostToQt([this, client = health_client_] {
    client->Get(url_ + "/health", kHealthTimeout, [this](const http::ClientResponse& response) {
      callbacks_.on_health(HealthOf(response));
    });
  });
}

}  // namespace coltsfoottide::daemon
