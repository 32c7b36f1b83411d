#pragma once

#include <istream>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/console/exit_status.h"
#include "coltsfoottide/console/log_record.h"

namespace coltsfoottide::console {

// Collects from the logs of several processes the lines of one job, and the
// lines without a job that the processes on the machines involved wrote at that
// time.
class JobTrace {
 public:
  // `job` is the job id that the caller puts in the path of its request.
  explicit JobTrace(std::string job);

  // Reads one log; returns the number of log lines found. Lines of other jobs
  // are counted and dropped.
  std::size_t Read(std::istream& log);

  // Whether any line names the job.
  bool found() const { return !job_lines_.empty(); }

  // Returns in order of time the job's lines, the lines without a job that the
  // machines involved wrote from 1 s before the job's first line to 1 s after its
  // last, and for each process on these machines its last line before that time
  // on the configuration in force.
  std::vector<LogRecord> Lines() const;

  // One sentence with the outcome of the job and the events that delayed it.
  std::string Summary() const;

  // The status of the last answer logged; kMayHaveRun without one.
  ExitStatus Outcome() const;

 private:
  // IP addresses of the machines that the job's lines name.
  std::set<std::string> Machines() const;
  std::size_t Count(const std::string& event, const std::string& how) const;
  const LogRecord* LastAnswer() const;

  std::string job_;
  // Lines that name the job, by time.
  std::vector<LogRecord> job_lines_;
  // Lines that name no job, in the order read.
  std::vector<LogRecord> other_lines_;
};

}  // namespace coltsfoottide::console
