#include "coltsfoottide/console/distribution.h"

#include <algorithm>
#include <boost/histogram/algorithm/reduce.hpp>
#include <boost/histogram/indexed.hpp>

namespace coltsfoottide::console {
namespace {

namespace accumulators = boost::accumulators;
namespace histogram = boost::histogram;

constexpr double kMinValue = 0.05;
constexpr double kMaxValue = 2'000'000;
// Bin width: log(kMaxValue / kMinValue) / 8800 = 0.2%.
constexpr unsigned kBins = 8800;
constexpr unsigned kBinsPerBucket = 55;

}  // namespace

Distribution::Distribution()
    : histogram_(histogram::make_histogram(Axis(kBins, kMinValue, kMaxValue))) {}

void Distribution::Add(double value) {
  totals_(value);
  histogram_(value);
}

std::size_t Distribution::count() const { return accumulators::count(totals_); }

double Distribution::mean() const { return count() == 0 ? 0 : accumulators::mean(totals_); }

double Distribution::max() const { return count() == 0 ? 0 : accumulators::max(totals_); }

double Distribution::Quantile(double probability) const {
  const double rank = probability * static_cast<double>(count());
  double below = 0;
  for (const auto& bin : histogram::indexed(histogram_, histogram::coverage::all)) {
    const auto inside = static_cast<double>(*bin);
    if (inside > 0 && below + inside >= rank) {
      const double lower = bin.bin().lower();
      const double upper = bin.bin().upper();
      return std::min(max(), lower + (upper - lower) * (rank - below) / inside);
    }
    below += inside;
  }
  return max();
}

QJsonObject Distribution::Summary() const {
  return {{"count", static_cast<qint64>(count())},
          {"mean", mean()},
          {"max", max()},
          {"p50", Quantile(0.5)},
          {"p90", Quantile(0.9)},
          {"p99", Quantile(0.99)}};
}

QJsonArray Distribution::Buckets() const {
  const auto merged =
      histogram::algorithm::reduce(histogram_, histogram::algorithm::rebin(kBinsPerBucket));
  QJsonArray buckets;
  for (const auto& bin : histogram::indexed(merged)) {
    if (*bin > 0) {
      buckets.append(QJsonArray{bin.bin().upper(), static_cast<qint64>(*bin)});
    }
  }
  return buckets;
}

}  // namespace coltsfoottide::console
