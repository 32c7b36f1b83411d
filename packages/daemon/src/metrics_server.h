#pragma once

#include <memory>
#include <optional>
#include <string>

#include "coltsfoottide/daemon/runtime.h"
#include "coltsfoottide/http/server.h"

namespace coltsfoottide::daemon {

class Metrics;

// HTTP server for GET /metrics, on an address of its own.
class MetricsServer {
 public:
  explicit MetricsServer(const Metrics& metrics);
  ~MetricsServer();

  // Listens on "IP:port"; an empty address opens nothing. `limits` bound what clients may do.
  std::optional<RuntimeError> Open(const std::string& address, const http::ServerLimits& limits);

 private:
  const Metrics& metrics_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace coltsfoottide::daemon
