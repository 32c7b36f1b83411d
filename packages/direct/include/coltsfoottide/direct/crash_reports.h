#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/run_at_crash.h"
#include "coltsfoottide/direct/worker_crash.h"

namespace coltsfoottide::direct {

class ReportSink;

// What an agent tells entries about the end of its backend server's incarnations. A crash is
// suspected while connections are refused, then certain or retracted; one without runs is of no
// interest to entries.
class CrashReports {
 public:
  explicit CrashReports(ReportSink& reports);

  // Connections have been refused since `since`. Changes nothing if a crash of the incarnation is
  // reported already.
  void OnRefusal(std::int64_t incarnation, core::TimePoint since, std::vector<RunAtCrash> runs);
  // The lease of these runs has ended while the backend server was silent. It may turn out to
  // have crashed.
  void OnLapsed(std::vector<RunAtCrash> runs);
  // The incarnation has crashed at `time` with these runs and those that have lapsed.
  void OnCrash(std::int64_t incarnation, core::TimePoint time, std::vector<RunAtCrash> runs);
  // The incarnation has ended as announced.
  void OnPlannedEnd() { lapsed_.clear(); }
  // The incarnation has answered, so it has not crashed.
  void OnAnswer(std::int64_t incarnation);

  // Forgets crashes that are older than kCrashRetention.
  void Forget(core::TimePoint now);
  // The latest report about each incarnation, oldest first, for the hello.
  const std::deque<WorkerCrash>& recent() const { return crashes_; }

 private:
  bool IsReported(std::int64_t incarnation) const;
  void Report(WorkerCrash crash);

  ReportSink& reports_;
  std::deque<WorkerCrash> crashes_;
  std::vector<RunAtCrash> lapsed_;
};

}  // namespace coltsfoottide::direct
