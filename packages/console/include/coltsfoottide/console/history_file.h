#pragma once

#include <fstream>
#include <string>

#include "coltsfoottide/console/job_outcome.h"

namespace coltsfoottide::console {

// Writes the history of a load run for a checker, one JSON object per line:
//
//   {"event":"run","seed":"S","mix":M,"at_us":T}
//   {"event":"submit","job":N,"attempt":A,"ticket":...,"to":URL,"tasks":K,
//    "team":...,"class":...,"idempotent":B,"deadline_ms":D,"intended_us":T,
//    "at_us":T}
//   {"event":"answer","job":N,"attempts":A,"ticket":...,"answered":B,
//    "maybe_sent":B,"state":...,"verdict":...,"reason":...,"message":...,
//    "results_ok":B,"starts":K,"response_us":R,"at_us":T}
//
// Times are microseconds on CLOCK_BOOTTIME, as in the start record of a
// stand-in backend server.
class HistoryFile {
 public:
  // Creates the file unless the path is empty; returns whether it could be
  // opened.
  bool Open(const std::string& path);

  // `start` is the start of the schedule.
  void AddRun(std::uint64_t seed, const std::string& mix, core::TimePoint start);
  // Records an attempt before it is sent.
  void AddSubmit(const JobOutcome& outcome, const api::JobSpec& job, const std::string& to,
                 core::TimePoint now);
  void AddAnswer(const JobOutcome& outcome);

 private:
  std::ofstream file_;
};

}  // namespace coltsfoottide::console
