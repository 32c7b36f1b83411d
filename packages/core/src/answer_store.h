#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::core {

// Answers of ended jobs, kept until they expire or newer ones need the space.
// An acknowledged answer was written to its caller, which may still have lost
// it, so it is kept as well, but is evicted first.
class AnswerStore {
 public:
  struct Entry {
    api::JobAnswer answer;
    std::uint64_t body_hash = 0;
    TimePoint ended;
  };

  explicit AnswerStore(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Returns the sequences of older answers that were evicted to make space.
  std::vector<std::uint64_t> Add(std::uint64_t sequence, Entry entry);
  const Entry* Find(std::uint64_t sequence) const;
  void Acknowledge(std::uint64_t sequence);

  // Drops the answers of jobs that ended at least `timeout` ago and returns
  // their sequences.
  std::vector<std::uint64_t> Expire(Duration timeout, TimePoint now);
  // End time of the oldest answer, or TimePoint::max().
  TimePoint OldestEnd() const;
  bool empty() const { return entries_.empty(); }
  bool all_acknowledged() const { return unacknowledged_.empty(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct StoredAnswer {
    Entry entry;
    std::size_t bytes = 0;
    bool acknowledged = false;
    std::list<std::uint64_t>::iterator position;
  };
  std::list<std::uint64_t>& ListOf(const StoredAnswer& stored);
  std::uint64_t Drop(std::uint64_t sequence);
  // The oldest acknowledged answer, or the oldest one if there is none.
  std::uint64_t EvictionCandidate() const;
  TimePoint OldestEndOf(const std::list<std::uint64_t>& list) const;

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::map<std::uint64_t, StoredAnswer> entries_;
  // Sequences of the unacknowledged answers, in the order in which their jobs
  // ended, and of the others, in the order of their acknowledgements.
  std::list<std::uint64_t> unacknowledged_;
  std::list<std::uint64_t> acknowledged_;
};

}  // namespace coltsfoottide::core
