#pragma once

#include <string>

#include "coltsfoottide/direct/run_report.h"
#include "coltsfoottide/direct/worker_crash.h"

namespace coltsfoottide::direct {

struct WorkerReport;

// Sends an agent's reports of runs and crashes to the entries.
class ReportSink {
 public:
  virtual ~ReportSink() = default;

  // `owner` is the entry that ordered the run.
  virtual void Report(const std::string& owner, const RunReport& report) = 0;

  // The backend server has crashed while it had runs, or is suspected to, or such a report is
  // retracted (WorkerCrash::Kind). A crash is reported before the ends of the runs, unless these
  // have ended with their lease.
  virtual void ReportCrash(const WorkerCrash& crash) = 0;

  // The backend server's answers show that this report is not of its present incarnation,
  // for logs.
  virtual void OnReportRefuted(const WorkerReport& report) = 0;
};

}  // namespace coltsfoottide::direct
