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

// An entry's view of one backend server: the agent's last state, and the orders
// that this entry has sent since.
class WorkerView {
 public:
  // A connection has opened, on which orders are counted from zero. What was known of the backend
  // server may be of an earlier incarnation of another kind, so it is forgotten.
  void OnConnected();
  void OnDescription(const WorkerDescription& description) { description_ = description; }
  // `orders_seen` is the number of orders on this connection that the state
  // accounts for.
  void OnState(const WorkerState& state, std::uint64_t orders_seen, core::TimePoint now);
  // The backend server has crashed; the next state says when it is back.
  void OnCrash() { state_.ready = false; }
  // Records an order that no state accounts for yet.
  void OnOrder(const Resources& need, core::Duration estimate, std::uint32_t priority = 0);
  // Sets its run time relative to the other backend servers of its service, 1 if
  // the difference does not count.
  void set_relative_run_time(double factor) { relative_run_time_ = factor; }
  double relative_run_time() const { return relative_run_time_; }

  // Whether it accepts work of the service now.
  bool Serves(const std::string& service) const;
  // Whether its labels and total resources, free or not, meet the needs of a
  // task of the step.
  bool MeetsRequirements(const StepRequest& step) const;

  // Expected queueing delay of a task with this need.
  core::Duration StartDelay(const Resources& need) const;

  // Queued work that is less urgent than this priority, in millicore-milliseconds,
  // and the part of StartDelay that is due to it.
  std::uint64_t LessUrgentWork(std::uint32_t priority) const;
  core::Duration LessUrgentDelay(std::uint32_t priority) const;

  // Expected run time of a task of the step, by the backend server's measured
  // speed and the location of the data.
  core::Duration RunTime(const StepRequest& step, double far_factor) const;

  // Expected time lost to failures of the backend server.
  core::Duration FailurePenalty(core::Duration run_time) const;

  // Total millicores in terms of a backend server of average speed.
  std::uint64_t EffectiveCpu() const;

  // Free millicores less those of orders that no state accounts for yet.
  std::uint64_t AvailableCpu() const;

  const WorkerDescription& description() const { return description_; }
  const WorkerState& state() const { return state_; }
  // When the state arrived.
  core::TimePoint state_time() const { return state_time_; }
  bool connected() const { return connected_; }
  void set_connected(bool connected) { connected_ = connected; }

 private:
  struct PendingOrder {
    Resources need;
    std::uint64_t work = 0;
    std::size_t priority_class = 0;
  };

  Resources AvailableResources() const;
  double Slowness() const;

  WorkerDescription description_;
  WorkerState state_;
  core::TimePoint state_time_;
  // Orders that no state accounts for yet, oldest first.
  std::deque<PendingOrder> pending_;
  // Sums over `pending_`.
  Resources pending_need_;
  std::uint64_t pending_work_ = 0;
  // Number of orders on this connection that states account for.
  std::uint64_t orders_seen_ = 0;
  bool connected_ = false;
  double relative_run_time_ = 1.0;
};

}  // namespace coltsfoottide::direct
