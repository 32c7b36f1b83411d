#include "latency_series.h"

#include <algorithm>
#include <array>
#include <vector>

namespace coltsfoottide::daemon {

namespace {

namespace acc = boost::accumulators;

// The estimator needs markers around the two quantiles that are reported, at
// kMedianIndex and kP99Index.
constexpr std::array kProbabilities = {0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999};
constexpr std::size_t kMedianIndex = 2;
constexpr std::size_t kP99Index = 6;
// With fewer samples the estimator's markers have not converged.
constexpr std::size_t kMinEstimatorSamples = 100;
constexpr int kBuckets = 17;

// 0, 1, 2, 4, ... 65536 ms.
std::vector<double> BucketEdges() {
  std::vector<double> edges = {0};
  for (double edge = 1; static_cast<int>(edges.size()) <= kBuckets; edge *= 2) {
    edges.push_back(edge);
  }
  return edges;
}

}  // namespace

LatencySeries::LatencySeries()
    : quantiles_(acc::tag::extended_p_square::probabilities = kProbabilities),
      histogram_(boost::histogram::make_histogram(Axis(BucketEdges()))) {}

void LatencySeries::Add(std::chrono::microseconds elapsed) {
  const double ms = std::chrono::duration<double, std::milli>(elapsed).count();
  quantiles_(ms);
  // The histogram's lowest bucket starts at 0.
  histogram_(std::max(ms, 0.0));
}

double LatencySeries::Quantile(std::size_t index) const {
  if (acc::count(quantiles_) < kMinEstimatorSamples) return BucketQuantile(kProbabilities[index]);
  return acc::extended_p_square(quantiles_)[static_cast<std::ptrdiff_t>(index)];
}

// Interpolates linearly within the bucket.
double LatencySeries::BucketQuantile(double probability) const {
  double rank = probability * static_cast<double>(acc::count(quantiles_));
  for (int i = 0; i < kBuckets; ++i) {
    const double n = histogram_.at(i);
    const auto bucket = histogram_.axis().bin(i);
    if (n > 0 && rank <= n) return bucket.lower() + bucket.width() * rank / n;
    rank -= n;
  }
  return histogram_.axis().bin(kBuckets - 1).upper();
}

void LatencySeries::Report(api::LatencySeries& out) const {
  out.set_count(acc::count(quantiles_));
  out.set_mean_ms(acc::mean(quantiles_));
  out.set_p50_ms(Quantile(kMedianIndex));
  out.set_p99_ms(Quantile(kP99Index));
  for (int i = 0; i < kBuckets; ++i) {
    out.add_bucket_upper_ms(histogram_.axis().bin(i).upper());
    out.add_bucket_count(static_cast<std::uint64_t>(histogram_.at(i)));
  }
}

}  // namespace coltsfoottide::daemon
