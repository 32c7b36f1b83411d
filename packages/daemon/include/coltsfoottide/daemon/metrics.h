#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::daemon {

// Counters, and for each team and class a histogram of response times with mean
// and quantiles. At most 1024 series; further teams share the series "other".
// Thread-safe.
class Metrics {
 public:
  virtual ~Metrics() = default;

  // Adds one response time.
  virtual void Observe(const std::string& team, api::JobClass job_class,
                       std::chrono::microseconds elapsed) = 0;
  virtual void Add(const std::string& counter, std::uint64_t n) = 0;
  // Sets a gauge, or a counter whose value is kept elsewhere.
  virtual void Set(const std::string& counter, std::uint64_t value) = 0;

  virtual api::GetMetricsResponse Report() const = 0;
  // The Prometheus text form of the report, names prefixed "coltsfoottide_".
  virtual std::string ReportText() const = 0;
};

// Makes metrics over Boost.Accumulators and Boost.Histogram.
std::unique_ptr<Metrics> MakeMetrics();

}  // namespace coltsfoottide::daemon
