#include "probation.h"

#include <algorithm>

namespace coltsfoottide::core {
namespace {

constexpr Duration kFirstDelay = std::chrono::seconds(5);
constexpr Duration kLongestDelay = std::chrono::seconds(60);
constexpr std::uint32_t kTasksPerRound = 3;

}  // namespace

void Probation::SetEjected(bool ejected, TimePoint now) {
  if (ejected == ejected_) {
    return;
  }
  ejected_ = ejected;
  round_starts_ = 0;
  delay_ = kFirstDelay;
  next_round_ = now + delay_;
}

std::uint32_t Probation::OpenSlots(std::uint32_t slots, TimePoint now) const {
  if (!ejected_) {
    return slots;
  }
  return now < next_round_ ? 0 : std::min<std::uint32_t>(slots, 1);
}

void Probation::OnStart(TimePoint now) {
  if (!ejected_ || ++round_starts_ < kTasksPerRound) {
    return;
  }
  round_starts_ = 0;
  delay_ = std::min(2 * delay_, kLongestDelay);
  next_round_ = now + delay_;
}

TimePoint Probation::NextRound(TimePoint now) const {
  return ejected_ && now < next_round_ ? next_round_ : TimePoint::max();
}

}  // namespace coltsfoottide::core
