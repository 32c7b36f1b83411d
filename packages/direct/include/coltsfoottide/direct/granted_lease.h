#pragma once

#include <cstdint>
#include <map>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// The lease that a backend server may have for its runs. Each call brings an end of the lease, the
// latest one counts, and calls without an answer may have arrived or may arrive later.
class GrantedLease {
 public:
  // `clock_error` is the most by which a lease lasts longer by the backend server's clock.
  explicit GrantedLease(core::Duration clock_error);

  // A call with a lease until `end` is sent. Returns a number of the call.
  std::uint64_t OnSent(core::TimePoint end);
  // The call was answered, or may have arrived.
  void OnSettled(std::uint64_t call);
  // The call was refused, so it brings nothing.
  void OnRefused(std::uint64_t call);
  // An earlier process of the agent may have granted a lease until `end`.
  void OnEarlierProcess(core::TimePoint end) { Note(end); }
  // Calls to the earlier incarnation bring nothing to the next one.
  void OnNextIncarnation();

  // The latest end of the lease at the present incarnation, by this agent's clock.
  core::TimePoint LatestEnd() const;
  // Whether no run can go on under the lease any more.
  bool HasEnded(core::TimePoint now) const;

 private:
  void Note(core::TimePoint end);

  const core::Duration clock_error_;
  std::uint64_t last_call_ = 0;
  // Ends that calls in progress bring, by call.
  std::map<std::uint64_t, core::TimePoint> pending_;
  // Of calls that may have arrived at the present incarnation, and at any.
  core::TimePoint latest_end_;
  core::TimePoint latest_end_of_any_;
};

}  // namespace coltsfoottide::direct
