#include "coltsfoottide/direct/worker_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace coltsfoottide::direct {

namespace {

// Small, because single tasks also fail by their own fault.
constexpr double kFailureWeight = 0.2;
// An avoided backend server is tried again after a few half-lives; known faults
// last 4 to 7 s.
constexpr double kHalfLifeSeconds = 2.5;
constexpr double kMaxSlowness = 8.0;
constexpr double kMinSlowness = 0.5;

}  // namespace

void WorkerHealth::OnSpeed(core::Duration elapsed, core::Duration estimate, double done_share,
                           double weight) {
  const double expected = static_cast<double>(estimate.count()) * done_share;
  const double actual = static_cast<double>(elapsed.count());
  const double sample = expected <= 0 ? kMaxSlowness : actual / expected;
  // Estimate errors are factors, so the average is taken over logarithms.
  const double target = std::log(std::clamp(sample, kMinSlowness, kMaxSlowness));
  slowness_ = std::exp(std::log(slowness_) * (1.0 - weight) + target * weight);
}

void WorkerHealth::OnSuccess() { failure_ratio_ -= failure_ratio_ * kFailureWeight; }

void WorkerHealth::OnFailure() { failure_ratio_ += (1.0 - failure_ratio_) * kFailureWeight; }

void WorkerHealth::Advance(core::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - last_decay_;
  last_decay_ = now;
  const double keep = std::exp2(-std::min(elapsed.count(), 60.0) / kHalfLifeSeconds);
  // A slowness below 1, of a fast backend server, does not decay.
  if (slowness_ > 1.0) slowness_ = 1.0 + (slowness_ - 1.0) * keep;
  failure_ratio_ *= keep;
}

void WorkerHealth::Reset() {
  slowness_ = 1.0;
  failure_ratio_ = 0.0;
}

}  // namespace coltsfoottide::direct
