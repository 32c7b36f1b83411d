#include "coltsfoottide/daemon/metrics.h"

#include <map>
#include <mutex>
#include <utility>

#include "latency_series.h"
#include "metrics_text.h"

namespace coltsfoottide::daemon {

namespace {

constexpr std::size_t kMaxSeries = 1024;
constexpr char kOtherTeam[] = "other";

class BoostMetrics : public Metrics {
 public:
  void Observe(const std::string& team, api::JobClass job_class,
               std::chrono::microseconds elapsed) override {
    const std::lock_guard lock(mutex_);
    FindOrAdd(team, job_class).Add(elapsed);
  }

  void Add(const std::string& counter, std::uint64_t n) override {
    const std::lock_guard lock(mutex_);
    counters_[counter] += n;
  }

  void Set(const std::string& counter, std::uint64_t value) override {
    const std::lock_guard lock(mutex_);
    counters_[counter] = value;
  }

  api::GetMetricsResponse Report() const override {
    const std::lock_guard lock(mutex_);
    api::GetMetricsResponse report;
    for (const auto& [key, series] : series_) {
      api::LatencySeries& out = *report.add_series();
      out.set_team(key.first);
      out.set_job_class(key.second);
      series.Report(out);
    }
    for (const auto& [name, value] : counters_) {
      api::Counter& out = *report.add_counters();
      out.set_name(name);
      out.set_value(value);
    }
    return report;
  }

  std::string ReportText() const override { return FormatMetrics(Report()); }

 private:
  using Key = std::pair<std::string, api::JobClass>;

  LatencySeries& FindOrAdd(const std::string& team, api::JobClass job_class) {
    const auto it = series_.find(Key(team, job_class));
    if (it != series_.end()) return it->second;
    // Leaves room for the series "other" of each class.
    const bool full = series_.size() + api::JobClass_ARRAYSIZE >= kMaxSeries;
    return series_[Key(full ? kOtherTeam : team, job_class)];
  }

  mutable std::mutex mutex_;
  std::map<Key, LatencySeries> series_;
  std::map<std::string, std::uint64_t> counters_;
};

}  // namespace

std::unique_ptr<Metrics> MakeMetrics() { return std::make_unique<BoostMetrics>(); }

}  // namespace coltsfoottide::daemon
