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
  // Intended send times as ascending offsets from the start of the run; the
  // n-th is that of job n.
  std::vector<core::Duration> arrivals;
  // Added to a job's critical path to give its ideal response time.
  core::Duration round_trip{};
};

// Sends the jobs of a plan at their intended times, regardless of the answers
// so far (open loop), on the current Qt thread.
class LoadRunner {
 public:
  LoadRunner(LoadPlan plan, JobSender& sender, HistoryFile& history);

  // Runs the plan until every job has ended, or until 30 s after the last
  // deadline; the remaining jobs then count as not sent.
  void Run();

  const LoadStatistics& statistics() const { return statistics_; }
  // From the start of the schedule to the end of the last job.
  core::Duration elapsed() const { return last_end_ - start_; }
  // Sum of the task run times of all jobs sent.
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
  // Ends the event loop of Run.
  std::function<void()> quit_;
  core::TimePoint start_;
  core::TimePoint last_end_;
  core::TimePoint last_deadline_;
  core::Duration offered_work_{};
  std::uint64_t next_job_ = 0;
  // Jobs passed to the sender that have not ended, by number.
  std::map<std::uint64_t, JobOutcome> in_flight_;
  LoadStatistics statistics_;
};

}  // namespace coltsfoottide::console
