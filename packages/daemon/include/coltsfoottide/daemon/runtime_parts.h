#pragma once

#include <functional>
#include <memory>

#include "coltsfoottide/core/backend_port.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {
class Outbox;
}  // namespace coltsfoottide::core

namespace coltsfoottide::daemon {

struct BackendHealth;

// Places at which an embedder may replace or wrap parts of an agent. Empty
// functions change nothing. The experiments use them to show that a check
// catches a fault.
struct RuntimeParts {
  std::function<std::unique_ptr<core::Outbox>(core::Outbox& inner)> wrap_outbox;
  std::function<std::unique_ptr<core::BackendPort>(core::BackendPort& inner)> wrap_backend;
  // Runs on each reply of an entry to a renewal before it is used.
  std::function<void(wire::Renewed& renewed)> edit_renewed;
  // Runs on each result of a health check.
  std::function<void(BackendHealth& health)> edit_health;
  // Returns whether a task is sent to the backend server again.
  std::function<bool(const wire::TaskId& task, core::BackendOutcome outcome)> send_again;
  // Ends the process at the stop signal without waiting for anything.
  bool abrupt_stop = false;
};

}  // namespace coltsfoottide::daemon
