#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "coltsfoottide/console/history_file.h"
#include "coltsfoottide/console/job_sender.h"
#include "coltsfoottide/console/load_statistics.h"
#include "coltsfoottide/console/precise_timer.h"
#include "coltsfoottide/console/workload_mix.h"
#include "coltsfoottide/core/time.h"

namespace coltsfoottide::console {

// What a load run sends.
struct LoadPlan {
  WorkloadMix mix;
  std::uint64_t seed = 0;
  // Intended send times from the start of the run, in order; the n-th is that
  // of job n.
  std::vector<core::Duration> arrivals;
  // Added to a job's critical path to give its ideal.
  core::Duration round_trip{};
};

// Sends the jobs of a plan at their intended times, whatever has been
// answered by then, on the current Qt thread.
class LoadRunner {
 public:
  LoadRunner(LoadPlan plan, JobSender& sender, HistoryFile& history);

  // Runs the plan; returns when every job has ended, or 30 s after the last
  // deadline, when the rest counts as unanswered or not sent.
  void Run();

  const LoadStatistics& statistics() const { return statistics_; }
  // From the first intended time to the last end.
  core::Duration elapsed() const { return last_end_ - start_; }
  // Sum of the run times of all jobs sent.
  core::Duration offered_work() const { return offered_work_; }

 private:
  void SendDue();
  void SendJob(std::uint64_t number);
  void OnDone(const JobOutcome& outcome);
  bool finished() const;

  LoadPlan plan_;
  JobSender& sender_;
  HistoryFile& history_;
  std::unique_ptr<PreciseTimer> timer_;
  std::function<void()> quit_;
  core::TimePoint start_;
  core::TimePoint last_end_;
  core::TimePoint last_deadline_;
  core::Duration offered_work_{};
  std::uint64_t next_ = 0;
  // Jobs sent and not ended, by number.
  std::map<std::uint64_t, JobOutcome> open_;
  LoadStatistics statistics_;
};

}  // namespace coltsfoottide::console
