#pragma once

#include <cstdint>
#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// Decides whether this agent may start a task now. A permission is proven by
// evidence that no configuration change was accepted that the agent has not
// folded; evidence lapses after a fixed time on a clock that counts pauses.
class StartPermission {
 public:
  // Starts are permitted for `validity` after the time of the evidence.
  explicit StartPermission(Duration validity = std::chrono::seconds(3));

  // Records that the configuration up to `head_next_offset` was complete at
  // `evidence_time`. Older evidence never replaces newer.
  void OnEvidence(TimePoint evidence_time, std::uint64_t head_next_offset);

  // Records what this agent has folded and whether its data centre is out.
  void OnConfig(std::uint64_t next_offset, bool data_centre_out);

  // Returns whether a task may start at `now`.
  bool Permits(TimePoint now) const;

  // Returns whether the data centre is out in the folded configuration.
  bool data_centre_out() const { return data_centre_out_; }

 private:
  Duration validity_;
  TimePoint confirmed_time_;
  bool confirmed_ = false;
  TimePoint pending_time_;
  std::uint64_t pending_offset_ = 0;
  bool pending_ = false;
  std::uint64_t next_offset_ = 0;
  bool data_centre_out_ = false;
};

}  // namespace coltsfoottide::core
