#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coltsfoottide/core/backend_port.h"

namespace coltsfoottide::http {
class Client;
}  // namespace coltsfoottide::http

namespace coltsfoottide::daemon {

// Result of one health check; by default, of one that failed.
struct BackendHealth {
  bool serving = false;
  std::uint32_t slots = 0;
  // Remaining time of the backend server's lease (`lease_ms`); negative when it
  // has none.
  std::chrono::milliseconds lease = std::chrono::milliseconds(-1);
};

// Called on the Qt thread.
struct BackendCallbacks {
  std::function<void(const wire::TaskId& task, core::BackendOutcome outcome, std::string output)>
      on_done;
  std::function<void(BackendHealth health)> on_health;
};

// HTTP client for this agent's backend server. Requests may be made on any
// thread; they run on the Qt thread.
class BackendClient : public core::BackendPort {
 public:
  // Must be made on the Qt thread.
  BackendClient(std::string url, std::uint32_t connections, BackendCallbacks callbacks);
  ~BackendClient() override;

  void Run(const wire::Start& start, core::Duration time_limit) override;

  // Starts one health check; its result goes to `on_health`.
  void CheckHealth();

 private:
  std::string url_;
  BackendCallbacks callbacks_;
  std::shared_ptr<http::Client> client_;
  std::shared_ptr<http::Client> health_client_;
};

}  // namespace coltsfoottide::daemon
