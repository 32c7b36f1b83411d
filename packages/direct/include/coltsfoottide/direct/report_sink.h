#pragma once

#include <string>

#include "coltsfoottide/direct/run_report.h"

namespace coltsfoottide::direct {

// Sends an agent's run reports to the entries.
class ReportSink {
 public:
  virtual ~ReportSink() = default;

  // `owner` is the entry that ordered the run.
  virtual void Report(const std::string& owner, const RunReport& report) = 0;
};

}  // namespace coltsfoottide::direct
