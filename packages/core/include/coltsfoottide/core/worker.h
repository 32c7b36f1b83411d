#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "coltsfoottide/core/backend_port.h"
#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

class Outbox;
class StartPermission;

// Settings of a worker.
struct WorkerOptions {
  std::uint32_t slots = 8;
  std::uint32_t max_reservations = 256;
  std::size_t max_result_bytes = 64 * 1024 * 1024;
  Duration offer_hold = std::chrono::milliseconds(50);
  Duration session_timeout = std::chrono::minutes(10);
  Duration result_timeout = std::chrono::seconds(60);
  Duration reservation_timeout = std::chrono::seconds(10);
  // Time from when the worker begins or resumes to accept tasks until all its
  // slots are open.
  Duration slow_start = std::chrono::seconds(2);
};

// Counters of a worker; they only grow.
struct WorkerCounters {
  std::uint64_t starts = 0;
  std::uint64_t done = 0;
  std::uint64_t failures = 0;
  std::uint64_t refused = 0;
  std::uint64_t offers = 0;
  std::uint64_t offers_expired = 0;
  std::uint64_t duplicate_starts = 0;
  std::uint64_t expired_offer_starts = 0;
};

// The slots of one backend server instance: sessions with coordinators,
// reservations, running tasks and results that wait for acknowledgement.
// Each task is started at most once, and only while the start permission is
// valid and the backend server serves. Not thread-safe.
class Worker {
 public:
  // The permission, outbox and backend must outlive the worker. The seed
  // determines the session numbers.
  Worker(WorkerOptions options, const StartPermission& permission, Outbox& outbox,
         BackendPort& backend, std::uint64_t seed);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Handles Hello, Start, Reserve, Decline, Unreserve, ResultAck and Resolve;
  // ignores other messages.
  void OnMessage(const wire::Envelope& envelope, TimePoint now);

  // Reports the end of a task started through the BackendPort.
  void OnBackendDone(const wire::TaskId& task, BackendOutcome outcome, const std::string& output,
                     TimePoint now);

  // Reports the result of the backend server's health check. While it does not
  // serve, no task is started.
  void OnBackendHealth(bool serving, std::uint32_t slots, TimePoint now);

  // Sets whether an entry has ejected this worker; an ejected worker opens
  // one slot for a few tasks after each probation delay.
  void SetEjected(bool ejected, TimePoint now);

  // Stops starting tasks, drops the reservations and notifies all
  // coordinators.
  void BeginLeave(TimePoint now);

  // Drops expired offers, results, reservations and sessions, offers free slots
  // and sends due load updates.
  void Tick(TimePoint now);

  // Time at which Tick must next be called.
  TimePoint NextWake() const;

  // Number of tasks that run now.
  std::uint32_t running() const;
  // True when no task runs and every result was acknowledged or dropped.
  bool Idle() const;
  // The current load, with the version of the last message that carried one.
  wire::Load CurrentLoad(TimePoint now) const;
  const WorkerCounters& counters() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace coltsfoottide::core
