#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/report_sink.h"
#include "coltsfoottide/direct/worker_report.h"

namespace coltsfoottide::direct {

// Collects what an executor tells its entries.
class CollectedReports : public ReportSink {
 public:
  void Report(const std::string& owner, const RunReport& report) override {
    reports.emplace_back(owner, report);
  }
  void ReportCrash(const WorkerCrash& /*crash*/) override { ++crashes; }
  void OnReportRefuted(const WorkerReport& report) override { refuted.push_back(report.id); }

  std::size_t Count(RunReport::Kind kind) const {
    return static_cast<std::size_t>(std::count_if(
        reports.begin(), reports.end(), [kind](const auto& it) { return it.second.kind == kind; }));
  }
  bool Has(const std::string& owner, const RunId& id, RunReport::Kind kind) const {
    return std::any_of(reports.begin(), reports.end(), [&](const auto& it) {
      return it.first == owner && it.second.id == id && it.second.kind == kind;
    });
  }

  // Reports of runs with the entries to which they went.
  std::vector<std::pair<std::string, RunReport>> reports;
  // Ids of the backend servers in refuted reports.
  std::vector<std::string> refuted;
  int crashes = 0;
};

}  // namespace coltsfoottide::direct
