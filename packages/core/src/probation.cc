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
  started_ = 0;
  delay_ = kFirstDelay;
  opens_ = now + delay_;
}

std::uint32_t Probation::Open(std::uint32_t slots, TimePoint now) const {
  if (!ejected_) {
    return slots;
  }
  return now < opens_ ? 0 : std::min<std::uint32_t>(slots, 1);
}

void Probation::OnStart(TimePoint now) {
  if (!ejected_ || ++started_ < kTasksPerRound) {
    return;
  }
  started_ = 0;
  delay_ = std::min(2 * delay_, kLongestDelay);
  opens_ = now + delay_;
}

TimePoint Probation::NextRound(TimePoint now) const {
  return ejected_ && now < opens_ ? opens_ : TimePoint::max();
}

}  // namespace coltsfoottide::core
