#pragma once

#include <cstdint>
#include <optional>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/run_id.h"
#include "coltsfoottide/direct/run_order.h"

namespace coltsfoottide::direct {

struct WorkerReport;

// Calls to the agent's backend server. Each call of StartRun, StopRun and RenewLease leads
// to one call of the RunExecutor's OnStartResult, OnStopResult or OnLeaseRenewal.
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;

  // Calls from now on are meant for the incarnation with this report.
  virtual void UseIncarnation(const WorkerReport& report) = 0;

  // All runs on the backend server may continue until `lease_end`, a point in time rather
  // than a duration so that a delayed call does not extend it. A start that arrives later
  // is refused. Without an answer within `timeout` the result is unknown.
  virtual void StartRun(const RunOrder& order, core::TimePoint lease_end,
                        core::Duration timeout) = 0;
  // If the run arrives after the stop, the backend server refuses it.
  virtual void StopRun(const RunId& id) = 0;
  // Renews the lease until `lease_end`, if given, acknowledges ended runs up to the number
  // `ended_cursor`, and waits up to `wait` for the next end. `renewal_number` is returned
  // with the answer.
  virtual void RenewLease(std::uint64_t renewal_number, std::uint64_t ended_cursor,
                          std::optional<core::TimePoint> lease_end, core::Duration wait) = 0;
};

}  // namespace coltsfoottide::direct
