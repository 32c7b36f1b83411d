#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/histogram.hpp>
#include <chrono>
#include <cstddef>
#include <string>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::daemon {

// Response times of one team and class: count, mean and estimated quantiles,
// and counts in buckets that grow by a factor of 2 from 1 ms to 65.5 s.
class LatencySeries {
 public:
  LatencySeries();

  void Add(std::chrono::microseconds elapsed);
  void Report(api::LatencySeries& out) const;

 private:
  // Uses the buckets while the estimator has too few samples.
  double Quantile(std::size_t index) const;
  double BucketQuantile(double probability) const;

  using Quantiles = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
                                 boost::accumulators::tag::extended_p_square>>;
  using Axis = boost::histogram::axis::variable<>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Quantiles quantiles_;
  Histogram histogram_;
};

}  // namespace coltsfoottide::daemon
