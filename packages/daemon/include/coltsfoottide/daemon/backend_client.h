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

// What a health check of the backend server has told.
struct BackendHealth {
  bool serving = false;
  std::uint32_t slots = 0;
  // Time left of the worker's lease; negative when there is no lease.
  std::chrono::milliseconds lease = std::chrono::milliseconds(-1);
};

// Called on the Qt thread.
struct BackendCallbacks {
  std::function<void(const wire::TaskId& task, core::BackendOutcome outcome, std::string output)>
      on_done;
  std::function<void(BackendHealth health)> on_health;
};

// The backend server beside this agent, over HTTP. Requests may be made on
// any thread; they run on the Qt thread.
class BackendClient : public core::BackendPort {
 public:
  // Must be made on the Qt thread.
  BackendClient(std::string url, std::uint32_t connections, BackendCallbacks callbacks);
  ~BackendClient() override;

  void Run(const wire::Start& start, core::Duration time_limit) override;

  // Asks for the backend server's health once.
  void CheckHealth();

 private:
  std::string url_;
  BackendCallbacks callbacks_;
  std::shared_ptr<http::Client> client_;
  std::shared_ptr<http::Client> health_client_;
};

}  // namespace coltsfoottide::daemon
