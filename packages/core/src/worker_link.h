#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"
#include "task_key.h"

namespace coltsfoottide::core {

// What a coordinator keeps of its link to one worker.
struct WorkerLink {
  // A Start that was neither refused nor answered.
  struct Outstanding {
    std::uint64_t session = 0;
    std::uint64_t link_sequence = 0;
    // When to ask the worker for the task if no result has come.
    TimePoint ask_at;
    Duration ask_after{};
  };
  // The last Resolve sent for a session.
  struct Question {
    std::uint64_t nonce = 0;
    std::uint64_t floor = 0;
  };

  std::string endpoint;
  bool candidate = true;
  // Incarnation that the directory last told.
  std::uint64_t told_incarnation = 0;
  // Of the worker that opened the session.
  std::uint64_t incarnation = 0;
  // 0 while there is none.
  std::uint64_t session = 0;
  // 0 when no Hello waits for its reply.
  std::uint64_t hello_nonce = 0;
  TimePoint hello_at{};
  std::uint64_t last_sequence = 0;

  std::map<TaskKey, Outstanding> outstanding;
  std::set<std::uint64_t> reservations;
  std::map<std::uint64_t, Question> questions;

  TimePoint last_heard{};
  // When the first of the outstanding starts was sent.
  TimePoint outstanding_since{};
  // Set while the worker does not answer; nothing is placed on it.
  bool silent = false;
  // Resolves sent since the last message from the worker.
  int resolves = 0;
  TimePoint last_resolve{};

  std::vector<wire::TaskId> acks;
  std::size_t ack_bytes = 0;
  TimePoint ack_due = TimePoint::max();
  std::vector<std::uint64_t> unreserves;
  TimePoint unreserve_due = TimePoint::max();
};

}  // namespace coltsfoottide::core
