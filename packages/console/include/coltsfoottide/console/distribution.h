#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/histogram.hpp>

namespace coltsfoottide::console {

// A distribution of positive numbers: exact count, mean and largest value,
// and quantiles from a logarithmic histogram of the range 0.05 to 2,000,000
// whose bins are 0.2% wide.
class Distribution {
 public:
  Distribution();

  void Add(double value);

  std::size_t count() const;
  // 0 when empty.
  double mean() const;
  double max() const;
  // Returns a quantile, interpolated in its bin and at most max(); 0 when
  // empty.
  double Quantile(double probability) const;

  // {"count","mean","max","p50","p90","p99"}.
  QJsonObject Summary() const;
  // [upper bound, count] of the non-empty bins, merged to a width of about 12%.
  QJsonArray Buckets() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis()));

  boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
                                 boost::accumulators::tag::max>>
      totals_;
  Histogram histogram_;
};

}  // namespace coltsfoottide::console
