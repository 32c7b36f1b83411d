#include "metrics_server.h"

#include <utility>
#include <variant>

#include "coltsfoottide/daemon/endpoint.h"
#include "coltsfoottide/daemon/metrics.h"
#include "coltsfoottide/http/server.h"

namespace coltsfoottide::daemon {

MetricsServer::MetricsServer(const Metrics& metrics) : metrics_(metrics) {}

MetricsServer::~MetricsServer() = default;

std::optional<RuntimeError> MetricsServer::Open(const std::string& address,
                                                const http::ServerLimits& limits) {
  constexpr int kNotFound = 404;
  if (address.empty()) return std::nullopt;
  const Endpoint endpoint = *ParseEndpoint(address);
  http::ServerCallbacks callbacks;
  callbacks.on_request = [this](const http::Request& request) {
    http::Response response;
    response.content_type = "text/plain";
    if (request.path == "/metrics") {
      response.body = metrics_.ReportText();
    } else {
      response.status = kNotFound;
    }
    server_->Respond(request.id, response);
  };
  auto server = http::MakeServer(endpoint.address, endpoint.port, limits, std::move(callbacks));
  if (auto* error = std::get_if<http::ServerError>(&server)) return RuntimeError{error->message};
  server_ = std::move(std::get<std::unique_ptr<http::Server>>(server));
  return std::nullopt;
}

}  // namespace coltsfoottide::daemon
