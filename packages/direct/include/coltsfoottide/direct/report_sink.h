#pragma once

#include <string>

#include "coltsfoottide/direct/run_report.h"

namespace coltsfoottide::direct {

// Carries an agent's reports to the entries.
class ReportSink {
 public:
  virtual ~ReportSink() = default;

  // `owner` is the entry that ordered the run.
  virtual void Report(const std::string& owner, const RunReport& report) = 0;
};

}  // namespace coltsfoottide::direct
