#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"
#include "task_key.h"

namespace coltsfoottide::core {

// State of a coordinator's link to one worker.
struct WorkerLink {
  // A Start that was neither refused nor answered.
  struct Outstanding {
    std::uint64_t session = 0;
    std::uint64_t link_sequence = 0;
    // When a Resolve is sent if no result has arrived.
    TimePoint resolve_at;
    Duration resolve_interval{};
  };
  // The last Resolve sent for a session and not answered yet.
  struct PendingResolve {
    std::uint64_t nonce = 0;
    std::uint64_t floor = 0;
  };

  std::string endpoint;
  bool candidate = true;
  // Incarnation in the last candidate list; 0 before the first one.
  std::uint64_t listed_incarnation = 0;
  // Incarnation of the worker that opened the session.
  std::uint64_t incarnation = 0;
  // Session number; 0 while no session is open.
  std::uint64_t session = 0;
  // Nonce of the Hello without a reply; 0 if there is none.
  std::uint64_t hello_nonce = 0;
  TimePoint hello_sent{};
  // Link sequence number of the last Start in the session.
  std::uint64_t last_sequence = 0;

  std::map<TaskKey, Outstanding> outstanding;
  std::set<std::uint64_t> reservations;
  // Unanswered Resolves by session.
  std::map<std::uint64_t, PendingResolve> pending_resolves;

  TimePoint last_received{};
  // Time of the last Start that was sent while none was outstanding.
  TimePoint outstanding_since{};
  // Set while the worker does not answer; nothing is placed on it.
  bool silent = false;
  // Batches of Resolves sent since the last message from the worker.
  int resolves = 0;
  TimePoint last_resolve{};

  std::vector<wire::TaskId> acks;
  std::size_t ack_bytes = 0;
  TimePoint ack_due = TimePoint::max();
  std::vector<std::uint64_t> unreserves;
  TimePoint unreserve_due = TimePoint::max();
};

}  // namespace coltsfoottide::core
