#include "coltsfoottide/direct/speed_estimate.h"

#include <chrono>
#include <utility>

#include "coltsfoottide/direct/median.h"

namespace coltsfoottide::direct {

namespace {

// With estimates that are off by up to 40% the median of this many runs has a
// standard error of 4%; a loaded backend server ends as many in 3 s.
constexpr std::size_t kMaxSamples = 128;
// The standard error is 5%. With half as many runs it is 7%, which makes a backend
// server at a speed of 0.8 look 1.5 times slower than its peers at times.
constexpr std::size_t kMinSamples = 64;
// Known faults of backend servers last 4 to 7 s. A backend server that gets no
// work because it was slow is taken as average after this time, and so tried again.
constexpr core::Duration kSampleRetention = std::chrono::seconds(30);

}  // namespace

void SpeedEstimate::OnEnded(core::Duration elapsed, core::Duration estimate, core::TimePoint now) {
  if (estimate <= core::Duration::zero() || elapsed <= core::Duration::zero()) return;
  const double ratio = static_cast<double>(elapsed.count()) / static_cast<double>(estimate.count());
  samples_.push_back({now, ratio});
  if (samples_.size() > kMaxSamples) samples_.pop_front();
}

std::optional<double> SpeedEstimate::Ratio(core::TimePoint now) const {
  std::vector<double> ratios = Latest(kMaxSamples, now - kSampleRetention);
  if (ratios.size() < kMinSamples) return std::nullopt;
  return Median(std::move(ratios));
}

std::vector<double> SpeedEstimate::Latest(std::size_t n, core::TimePoint since) const {
  std::vector<double> ratios;
  for (auto it = samples_.rbegin(); it != samples_.rend() && ratios.size() < n; ++it) {
    if (it->time < since) break;
    ratios.push_back(it->ratio);
  }
  return ratios;
}

}  // namespace coltsfoottide::direct
