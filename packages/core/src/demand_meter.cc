#include "demand_meter.h"

#include <cmath>

namespace coltsfoottide::core {
namespace {

// Time constant of the decay. It spans several status exchanges, so that shares
// follow a shift of load between entries within seconds but do not follow
// single jobs.
constexpr double kDecaySeconds = 5;

}  // namespace

void DemandMeter::Add(double count, TimePoint now) {
  rate_ = Rate(now) + count / kDecaySeconds;
  updated_ = now;
}

double DemandMeter::Rate(TimePoint now) const {
  const double seconds = std::chrono::duration<double>(now - updated_).count();
  return seconds <= 0 ? rate_ : rate_ * std::exp(-seconds / kDecaySeconds);
}

}  // namespace coltsfoottide::core
