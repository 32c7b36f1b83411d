#pragma once

#include <istream>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/console/exit_status.h"
#include "coltsfoottide/console/log_record.h"

namespace coltsfoottide::console {

// What the logs of several processes say of one job: its own lines, and what
// the processes on its way believed meanwhile.
class JobTrace {
 public:
  // `job` is the id in the caller's path.
  explicit JobTrace(std::string job);

  // Takes all lines of one log; returns how many were read. Keeps only those
  // that may matter.
  std::size_t Read(std::istream& log);

  // Whether any line names the job.
  bool found() const { return !own_.empty(); }

  // The job's lines and those without a job that the processes on its way
  // wrote from a second before the first until a second after the last, by
  // time; also the configuration that each entry had before.
  std::vector<LogRecord> Lines() const;

  // One sentence on what became of the job and what held it up.
  std::string Summary() const;

  // By the last answer that is logged; kMayHaveRun without one.
  ExitStatus Outcome() const;

 private:
  std::set<std::string> Machines() const;
  std::size_t Count(const std::string& event, const std::string& how) const;
  const LogRecord* LastAnswer() const;

  std::string job_;
  std::vector<LogRecord> own_;
  std::vector<LogRecord> others_;
};

}  // namespace coltsfoottide::console
