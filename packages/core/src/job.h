#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/api.pb.h"
#include "job_graph.h"
#include "ready_queue.h"

namespace coltsfoottide::core {

// A call that waits for a job's answer.
struct Waiter {
  std::string endpoint;
  std::uint64_t request = 0;
  bool operator==(const Waiter&) const = default;
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
  // Where the outstanding Start went.
  std::string worker;
  // The backend server refused it and no retry was taken from the budget yet.
  bool needs_retry = false;
  std::uint32_t starts = 0;
  // When its delay ends or its reservations are checked.
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
  // Latest time at which a first start could still meet the deadline.
  TimePoint unreachable;
  // When the job is next checked against its deadline.
  TimePoint wake;
  JobGraph graph;
  std::vector<JobTask> tasks;
  std::vector<Waiter> waiters;
  std::uint32_t starts = 0;
  std::uint32_t outstanding = 0;
  std::uint32_t done = 0;
  // A result has come or a worker has said that a task runs.
  bool has_run = false;

  ReadyQueue::Lane Lane() const { return {spec.service(), spec.job_class()}; }
  // What is known now of whether a task of the job has run.
  api::Verdict Verdict() const {
    return has_run ? api::RAN : (outstanding > 0 ? api::MAY_HAVE_RUN : api::NOT_RUN);
  }
};

}  // namespace coltsfoottide::core
