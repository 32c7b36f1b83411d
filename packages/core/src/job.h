#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/api.pb.h"
#include "job_graph.h"
#include "ready_queue.h"

namespace coltsfoottide::core {

// Identifies a call by the endpoint of its entry and its request number.
struct CallerId {
  std::string endpoint;
  std::uint64_t request = 0;
  bool operator==(const CallerId&) const = default;
};

// One task of a running job.
struct JobTask {
  enum class State {
    kBlocked,  // by tasks it depends on
    kWaiting,  // in the ready queue
    kDelayed,  // until its timer
    kStarted,  // a Start is outstanding
    kDone,
  };
  State state = State::kBlocked;
  ReadyQueue::Item item;
  std::vector<std::uint64_t> reservations;
  // Workers that answered a Start of this task with BUSY.
  std::vector<std::string> tried;
  // The worker to which the outstanding Start was sent.
  std::string worker;
  // A backend server refused the task, and no retry was taken from the budget
  // yet.
  bool needs_retry = false;
  std::uint32_t starts = 0;
  // When the task's delay ends or its reservations are checked next.
  TimePoint timer{};
  std::string output;
};

// A job that was accepted and has not ended.
struct Job {
  api::Ticket ticket;
  api::JobSpec spec;
  std::uint64_t body_hash = 0;
  std::size_t bytes = 0;
  std::size_t output_bytes = 0;
  TimePoint accepted;
  TimePoint deadline;
  // Latest time at which the first start can still meet the deadline.
  TimePoint latest_first_start;
  // Time of the next deadline check.
  TimePoint next_check;
  JobGraph graph;
  std::vector<JobTask> tasks;
  std::vector<CallerId> waiters;
  std::uint32_t starts = 0;
  std::uint32_t outstanding = 0;
  std::uint32_t done = 0;
  // A result has proved that a task of the job ran.
  bool has_run = false;

  ReadyQueue::QueueKey QueueKey() const { return {spec.service(), spec.job_class()}; }
  // Returns what is known about whether a task of the job has run.
  api::Verdict Verdict() const {
    return has_run ? api::RAN : (outstanding > 0 ? api::MAY_HAVE_RUN : api::NOT_RUN);
  }
};

}  // namespace coltsfoottide::core
