#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::core {

// Answers of ended jobs, kept until acknowledged, until they expire, or until
// newer ones need the space.
class AnswerStore {
 public:
  struct Entry {
    api::JobAnswer answer;
    std::uint64_t body_hash = 0;
    TimePoint ended;
  };

  explicit AnswerStore(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Returns the sequences of older answers that were dropped to make space.
  std::vector<std::uint64_t> Add(std::uint64_t sequence, Entry entry);
  const Entry* Find(std::uint64_t sequence) const;
  bool Remove(std::uint64_t sequence);

  // Drops the answers of jobs that ended at least `timeout` ago and returns
  // their sequences.
  std::vector<std::uint64_t> Expire(Duration timeout, TimePoint now);
  // End time of the oldest answer, or TimePoint::max().
  TimePoint OldestEnd() const;
  bool empty() const { return entries_.empty(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Slot {
    Entry entry;
    std::size_t bytes = 0;
    std::list<std::uint64_t>::iterator place;
  };
  std::uint64_t DropOldest();

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::map<std::uint64_t, Slot> entries_;
  // Oldest first.
  std::list<std::uint64_t> order_;
};

}  // namespace coltsfoottide::core
