#include "coltsfoottide/core/start_permission.h"

#include <algorithm>

namespace coltsfoottide::core {

StartPermission::StartPermission(Duration validity) : validity_(validity) {}

void StartPermission::OnEvidence(TimePoint evidence_time, std::uint64_t head_next_offset) {
  if (head_next_offset <= next_offset_) {
    confirmed_time_ = confirmed_ ? std::max(confirmed_time_, evidence_time) : evidence_time;
    confirmed_ = true;
  } else if (!pending_ || evidence_time > pending_time_) {
    pending_ = true;
    pending_time_ = evidence_time;
    pending_offset_ = head_next_offset;
  }
}

void StartPermission::OnConfig(std::uint64_t next_offset, bool data_centre_out) {
  // The applied offset never decreases; a lower one is an outdated report.
  if (next_offset < next_offset_) {
    return;
  }
  next_offset_ = next_offset;
  data_centre_out_ = data_centre_out;
  if (pending_ && pending_offset_ <= next_offset_) {
    pending_ = false;
    OnEvidence(pending_time_, pending_offset_);
  }
}

bool StartPermission::Permits(TimePoint now) const {
  return confirmed_ && !data_centre_out_ && now - confirmed_time_ <= validity_;
}

}  // namespace coltsfoottide::core
