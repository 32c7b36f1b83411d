#include "coltsfoottide/direct/admission_control.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace coltsfoottide::direct {

namespace {

// The slack of a job counts for one to two of these intervals.
constexpr core::Duration kInterval = std::chrono::seconds(1);
// Lower limit of the bound. A full backend server frees resources within tens of
// milliseconds, and jobs with less slack than that must not refuse all others.
constexpr core::Duration kMinLongestDelay = std::chrono::milliseconds(55);
// The expected delay is that of the first task; the last task of a job waits
// longer, and queues grow between two states of an agent.
constexpr int kDelayShareOfSlack = 2;

}  // namespace

void AdmissionControl::OnSubmit(core::Duration slack, core::TimePoint now) {
  if (now >= interval_end_) {
    const bool adjacent = now < interval_end_ + kInterval;
    last_min_ = adjacent ? present_min_ : core::Duration::max();
    present_min_ = core::Duration::max();
    interval_end_ = now + kInterval;
  }
  present_min_ = std::min(present_min_, slack);
}

core::Duration AdmissionControl::LongestDelay() const {
  return std::max(kMinLongestDelay, std::min(present_min_, last_min_) / kDelayShareOfSlack);
}

}  // namespace coltsfoottide::direct
