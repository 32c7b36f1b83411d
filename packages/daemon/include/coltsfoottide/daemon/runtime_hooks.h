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

// Hooks with which an embedder replaces or wraps parts of an agent. An empty
// function changes nothing. The experiments inject faults with them, to show
// that a check detects the fault.
struct RuntimeHooks {
  std::function<std::unique_ptr<core::Outbox>(core::Outbox& inner)> wrap_outbox;
  std::function<std::unique_ptr<core::BackendPort>(core::BackendPort& inner)> wrap_backend;
  // Called with each reply of an entry to a renewal, before the reply is used.
  std::function<void(wire::Renewed& renewed)> edit_renewed;
  // Called with each result of a health check, before it is used.
  std::function<void(BackendHealth& health)> edit_health;
  // Called with each task outcome from the backend server, before it is used. If
  // it returns true, the outcome is not passed to the worker; the embedder runs
  // the task again.
  std::function<bool(const wire::TaskId& task, core::BackendOutcome outcome)> suppress_outcome;
  // Exits at the stop signal at once, without a graceful stop.
  bool abrupt_stop = false;
};

}  // namespace coltsfoottide::daemon
