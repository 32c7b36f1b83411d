#pragma once

#include <cstdint>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/run_id.h"
#include "coltsfoottide/direct/run_order.h"

namespace coltsfoottide::direct {

// Calls to the agent's backend server. Each ends in a call of the executor's
// OnStartResult, OnStopResult or OnHold.
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;

  // `lease` is how long all runs of the backend server may go on from now;
  // without an answer within `limit` the result is unknown.
  virtual void StartRun(const RunOrder& order, core::Duration lease, core::Duration limit) = 0;
  // A run that is not there yet is refused later on.
  virtual void StopRun(const RunId& id) = 0;
  // Renews the lease, acknowledges ends up to `ended_seen`, and waits up to
  // `wait` for the next end. `round` comes back with the answer.
  virtual void Hold(std::uint64_t round, std::uint64_t ended_seen, core::Duration lease,
                    core::Duration wait) = 0;
};

}  // namespace coltsfoottide::direct
