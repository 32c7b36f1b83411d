#pragma once

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "coltsfoottide/console/distribution.h"
#include "coltsfoottide/console/job_outcome.h"

namespace coltsfoottide::console {

// Counts and response times of a set of jobs.
class JobSeries {
 public:
  void Add(const JobOutcome& outcome);

  // Share of all jobs that completed by their deadline; 1 without jobs.
  double on_time_ratio() const;
  // The series as JSON; response times are those of complete jobs, counted
  // from the intended send time.
  QJsonObject ToJson() const;

 private:
  std::uint64_t jobs_ = 0;
  std::uint64_t complete_ = 0;
  std::uint64_t complete_on_time_ = 0;
  std::uint64_t answered_on_time_ = 0;
  Distribution response_ms_;
  // Response time divided by the ideal response time.
  Distribution over_ideal_;
};

// Counts and response times of the outcomes of a load run.
class LoadStatistics {
 public:
  void Add(const JobOutcome& outcome);

  std::uint64_t jobs() const { return jobs_; }
  // Counts by state, verdict and reason, and the series of all jobs, of each
  // class, and of each team and class.
  QJsonObject ToJson() const;

 private:
  using Counts = std::map<std::string, std::uint64_t>;

  std::uint64_t jobs_ = 0;
  std::uint64_t tasks_complete_ = 0;
  std::uint64_t starts_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t not_sent_ = 0;
  std::uint64_t unanswered_ = 0;
  std::uint64_t wrong_results_ = 0;
  Counts states_;
  Counts verdicts_;
  Counts reasons_;
  Distribution send_delay_ms_;
  JobSeries all_;
  std::map<api::JobClass, JobSeries> classes_;
  std::map<std::pair<std::string, api::JobClass>, JobSeries> teams_;
};

}  // namespace coltsfoottide::console
