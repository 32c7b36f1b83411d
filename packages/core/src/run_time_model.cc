#include "run_time_model.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace coltsfoottide::core {
namespace {

constexpr std::size_t kMinSamples = 8;
constexpr double kMeanWeight = 0.1;
constexpr double kLowQuantile = 0.05;
constexpr double kHighQuantile = 0.95;
// Callers choose the task kinds, so their number must be bounded.
constexpr std::size_t kMaxKinds = 1024;
// Run time assumed for a task that declares none while nothing is learned.
constexpr Duration kDefaultRunTime = std::chrono::milliseconds(200);

Duration Quantile(std::vector<Duration>& sorted, double q) {
  const auto at = std::lround(q * static_cast<double>(sorted.size() - 1));
  return sorted[static_cast<std::size_t>(at)];
}

}  // namespace

void RunTimeModel::Add(const std::string& service, const std::string& kind, Duration run_time) {
  const auto key = std::make_pair(service, kind);
  auto it = kinds_.find(key);
  if (it == kinds_.end()) {
    if (kinds_.size() >= kMaxKinds) {
      EvictLeastRecentlyUpdated();
    }
    it = kinds_.emplace(key, Kind{}).first;
  }
  Kind& entry = it->second;
  const double weight =
      std::max(kMeanWeight, 1.0 / static_cast<double>(std::min(entry.count + 1, kMaxSamples)));
  const auto change = static_cast<double>((run_time - entry.estimate.mean).count());
  entry.estimate.mean += Duration(static_cast<Duration::rep>(weight * change));
  entry.samples[entry.count % kMaxSamples] = run_time;
  ++entry.count;
  entry.last_update = ++updates_;
  UpdateQuantiles(entry);
}

RunTimeModel::Estimate RunTimeModel::Get(const std::string& service, const std::string& kind,
                                         Duration declared) const {
  const auto it = kinds_.find(std::make_pair(service, kind));
  if (it != kinds_.end() && it->second.estimate.learned) {
    return it->second.estimate;
  }
  const Duration assumed = declared > Duration::zero() ? declared : kDefaultRunTime;
  return Estimate{assumed, Duration::zero(), 2 * assumed, false};
}

void RunTimeModel::UpdateQuantiles(Kind& kind) {
  kind.estimate.learned = kind.count >= kMinSamples;
  if (!kind.estimate.learned) {
    return;
  }
  const auto n = static_cast<std::ptrdiff_t>(std::min(kind.count, kMaxSamples));
  std::vector<Duration> sorted(kind.samples.begin(), kind.samples.begin() + n);
  std::sort(sorted.begin(), sorted.end());
  kind.estimate.low = Quantile(sorted, kLowQuantile);
  kind.estimate.high = Quantile(sorted, kHighQuantile);
}

void RunTimeModel::EvictLeastRecentlyUpdated() {
  kinds_.erase(std::min_element(kinds_.begin(), kinds_.end(), [](const auto& a, const auto& b) {
    return a.second.last_update < b.second.last_update;
  }));
}

}  // namespace coltsfoottide::core
