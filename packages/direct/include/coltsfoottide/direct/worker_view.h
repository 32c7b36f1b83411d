#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/step_request.h"
#include "coltsfoottide/direct/worker_description.h"
#include "coltsfoottide/direct/worker_state.h"

namespace coltsfoottide::direct {

// What an entry believes about one backend server: the agent's last report,
// and what this entry has sent there since.
class WorkerView {
 public:
  // A connection has opened; orders are counted from zero on it.
  void OnConnected();
  void OnDescription(const WorkerDescription& description) { description_ = description; }
  // `orders_seen` is how many orders of this connection the state covers.
  void OnReport(const WorkerState& state, std::uint64_t orders_seen, core::TimePoint now);
  // Counts an order of this entry that reports do not show yet.
  void OnOrder(const Resources& need, core::Duration estimate);

  // Whether it takes work of the service now.
  bool Serves(const std::string& service) const;
  // Whether it has what a task of the step needs, be it in use or not.
  bool Suits(const StepRequest& step) const;

  // Expected time until a task with this need begins.
  core::Duration StartDelay(const Resources& need) const;

  // Expected run time of a task of the step here, by the backend server's
  // measured speed and the place of the data.
  core::Duration RunTime(const StepRequest& step, double far_factor) const;

  // Expected time lost to failures of the backend server.
  core::Duration FailurePenalty(core::Duration run_time) const;

  // Free millicores less those of orders that no report covers yet.
  std::uint64_t UnclaimedCpu() const;

  const WorkerDescription& description() const { return description_; }
  const WorkerState& state() const { return state_; }
  // When the state arrived.
  core::TimePoint state_time() const { return state_time_; }
  void set_connected(bool connected) { connected_ = connected; }

 private:
  struct SentOrder {
    Resources need;
    std::uint64_t work = 0;
  };

  Resources Unclaimed() const;
  double Slowness() const;

  WorkerDescription description_;
  WorkerState state_;
  core::TimePoint state_time_;
  // Orders that no report covers yet, oldest first.
  std::deque<SentOrder> sent_;
  // Orders of this connection that reports have covered.
  std::uint64_t covered_ = 0;
  bool connected_ = false;
};

}  // namespace coltsfoottide::direct
