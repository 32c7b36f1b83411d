#pragma once

#include <cstdint>
#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// Decides whether this agent may start a task now. That requires evidence that
// the agent has applied every accepted configuration change. Evidence expires
// after a fixed time, measured on a clock that also runs while the process or
// the machine is paused.
class StartPermission {
 public:
  // Evidence permits starts for `validity` after its time.
  explicit StartPermission(Duration validity = std::chrono::seconds(3));

  // Records that the configuration up to `head_next_offset` was complete at
  // `evidence_time`. Older evidence never replaces newer.
  void OnEvidence(TimePoint evidence_time, std::uint64_t head_next_offset);

  // Records that this agent has applied the configuration up to `next_offset`,
  // and whether its data centre is taken out in it.
  void OnConfig(std::uint64_t next_offset, bool data_centre_out);

  // Returns whether a task may start at `now`.
  bool Permits(TimePoint now) const;

  // Returns whether the data centre is taken out in the applied configuration.
  bool data_centre_out() const { return data_centre_out_; }

 private:
  Duration validity_;
  // Time of the newest evidence that the applied configuration covers.
  TimePoint confirmed_time_;
  bool confirmed_ = false;
  // Newest evidence for a configuration that is not applied yet.
  TimePoint pending_time_;
  std::uint64_t pending_offset_ = 0;
  bool pending_ = false;
  std::uint64_t next_offset_ = 0;
  bool data_centre_out_ = false;
};

}  // namespace coltsfoottide::core
