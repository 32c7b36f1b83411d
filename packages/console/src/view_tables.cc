#include "coltsfoottide/console/view_tables.h"

#include <fmt/format.h>

#include <algorithm>

#include "coltsfoottide/console/ticket_text.h"

namespace coltsfoottide::console {
namespace {

// Length of the longest bar in characters.
constexpr std::size_t kBarWidth = 40;

std::string Milliseconds(double ms) { return fmt::format("{:.1f}", ms); }

std::string LimitText(std::uint32_t value, const char* unit) {
  return value == 0 ? std::string("none") : fmt::format("{} {}", value, unit);
}

std::string ValueText(const api::ConfigItem& item) {
  switch (item.value_case()) {
    case api::ConfigItem::kService:
      return "longest deadline " + LimitText(item.service().max_deadline_ms(), "ms");
    case api::ConfigItem::kQuota:
      return fmt::format("{} starts/s, burst {}", item.quota().starts_per_second(),
                         item.quota().burst());
    case api::ConfigItem::kDataCentre:
      return item.data_centre().out() ? "out" : "in";
    default:
      return "";
  }
}

}  // namespace

Table ZoneTable(const api::GetConfigResponse& config) {
  Table table({"DATA CENTRE", "STATE", "VERSION"});
  for (const api::ConfigItem& item : config.items()) {
    if (item.has_data_centre()) {
      table.AddRow({item.data_centre().name(), ValueText(item), std::to_string(item.version())});
    }
  }
  return table;
}

Table ConfigTable(const api::GetConfigResponse& config) {
  Table table({"KEY", "VALUE", "VERSION"});
  for (const api::ConfigItem& item : config.items()) {
    table.AddRow({item.key(), ValueText(item), std::to_string(item.version())});
  }
  return table;
}

Table RosterTable(const api::GetConfigResponse& config) {
  Table table({"ENTRY", "INCARNATION", "DATA CENTRE", "VERSION"});
  for (const api::RosterItem& item : config.roster()) {
    table.AddRow({item.endpoint(), FormatIncarnation(item.incarnation()), item.data_centre(),
                  std::to_string(item.version())});
  }
  return table;
}

Table WorkerTable(const api::ListWorkersResponse& workers) {
  Table table({"WORKER", "DATA CENTRE", "RACK", "SERVICE", "STATE", "BUSY", "SLOTS", "QUEUED",
               "STARTS", "FAILURES", "CONFIG"});
  for (const api::WorkerInfo& worker : workers.workers()) {
    table.AddRow({worker.endpoint(), worker.data_centre(), worker.rack(), worker.service(),
                  api::WorkerState_Name(worker.state()), std::to_string(worker.busy()),
                  std::to_string(worker.slots()), std::to_string(worker.queued()),
                  std::to_string(worker.starts()), std::to_string(worker.failures()),
                  std::to_string(worker.config_offset())});
  }
  return table;
}

Table JobTable(const api::ListJobsResponse& jobs) {
  Table table({"TICKET", "TEAM", "CLASS", "STATE", "DONE", "TASKS", "AGE MS"});
  for (const api::JobInfo& job : jobs.jobs()) {
    table.AddRow({FormatTicket(job.ticket()), job.team(), api::JobClass_Name(job.job_class()),
                  api::JobState_Name(job.state()), std::to_string(job.done()),
                  std::to_string(job.tasks()), std::to_string(job.age_ms())});
  }
  return table;
}

Table SeriesTable(const api::GetMetricsResponse& metrics) {
  Table table({"TEAM", "CLASS", "COUNT", "MEAN MS", "P50 MS", "P99 MS"});
  for (const api::LatencySeries& series : metrics.series()) {
    table.AddRow({series.team(), api::JobClass_Name(series.job_class()),
                  std::to_string(series.count()), Milliseconds(series.mean_ms()),
                  Milliseconds(series.p50_ms()), Milliseconds(series.p99_ms())});
  }
  return table;
}

Table HistogramTable(const api::LatencySeries& series) {
  const int buckets = std::min(series.bucket_count_size(), series.bucket_upper_ms_size());
  const std::uint64_t largest =
      buckets == 0 ? 0
                   : *std::max_element(series.bucket_count().begin(), series.bucket_count().end());
  Table table({"UP TO MS", "COUNT", ""});
  for (int n = 0; n < buckets; ++n) {
    const std::uint64_t count = series.bucket_count(n);
    if (count > 0) {
      const std::size_t length = std::max<std::size_t>(1, kBarWidth * count / largest);
      table.AddRow({Milliseconds(series.bucket_upper_ms(n)), std::to_string(count),
                    std::string(length, '#')});
    }
  }
  return table;
}

Table CounterTable(const api::GetMetricsResponse& metrics) {
  Table table({"COUNTER", "VALUE"});
  for (const api::Counter& counter : metrics.counters()) {
    table.AddRow({counter.name(), std::to_string(counter.value())});
  }
  return table;
}

}  // namespace coltsfoottide::console
