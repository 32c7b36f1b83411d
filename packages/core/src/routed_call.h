#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::core {

// A call about one ticket that waits for a reply of its coordinator.
struct RoutedCall {
  enum class Kind { kSubmit, kWait, kCancel, kStatus };

  Kind kind = Kind::kStatus;
  // Whether the call ends with the job's answer; others end with its state.
  bool WaitsForAnswer() const { return kind == Kind::kWait || (kind == Kind::kSubmit && wait); }

  std::uint64_t call = 0;
  // The caller's ticket, and the one in use: the same, or the one that replaces
  // it at a successor of its coordinator.
  api::Ticket ticket;
  api::Ticket current_ticket;
  int moves = 0;
  // Set for a Submit only.
  api::JobSpec job;
  bool wait = false;
  // Set when the entry does not admit the job.
  std::optional<api::Error> refusal;
  // Size of the job in bytes; 0 once it is confirmed.
  std::size_t job_bytes = 0;
  // The coordinator has the job; the tasks are no longer kept here.
  bool confirmed = false;
  TimePoint accepted_at;
  // When the entry itself responds if no reply has arrived, or TimePoint::max().
  TimePoint response_deadline = TimePoint::max();
  // Request numbers of the call itself and of the last poll of its state (0: none
  // is unanswered).
  std::uint64_t request = 0;
  std::uint64_t poll_request = 0;
  TimePoint next_poll = TimePoint::max();
  Duration poll_interval{};
};

}  // namespace coltsfoottide::core
