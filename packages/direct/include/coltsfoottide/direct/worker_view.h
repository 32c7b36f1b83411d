#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/step_request.h"
#include "coltsfoottide/direct/worker_state.h"

namespace coltsfoottide::direct {

// What an entry believes about one backend server: the agent's last report,
// and what this entry has sent there since.
class WorkerView {
 public:
  void OnReport(const WorkerState& state, core::TimePoint now);
  // Counts an order of this entry that the next reports do not show yet.
  void OnOrder(const Resources& need, core::Duration estimate, core::TimePoint now);

  // Whether tasks of the step may be placed here at all.
  bool Eligible(const std::string& service, const StepRequest& step) const;

  // Expected time until a task with this need begins.
  core::Duration StartDelay(const Resources& need) const;

  // Expected run time of a task of the step here, by the backend server's
  // measured speed and the place of the data.
  core::Duration RunTime(const StepRequest& step, double far_factor) const;

  // Expected time lost to failures of the backend server.
  core::Duration FailurePenalty(core::Duration run_time) const;

  // Free millicores less those of orders that no report covers yet.
  std::uint64_t UnclaimedCpu() const;

  const WorkerState& state() const { return state_; }
  bool connected() const { return connected_; }
  void set_connected(bool connected) { connected_ = connected; }

 private:
  WorkerState state_;
  // Orders since the last report that covered them.
  Resources sent_;
  std::uint64_t sent_work_ = 0;
  core::TimePoint last_order_;
  bool connected_ = false;
};

}  // namespace coltsfoottide::direct
