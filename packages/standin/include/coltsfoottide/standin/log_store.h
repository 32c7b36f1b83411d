#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::standin {

// How long records are kept; both limits apply.
struct Retention {
  std::size_t max_records = 100'000;
  std::chrono::milliseconds max_age = std::chrono::hours(1);
};

struct LogRecord {
  std::uint64_t offset = 0;
  core::TimePoint appended_at;
  std::string data;
};

// Records from an offset on, with the retained range.
struct LogPage {
  // First retained offset; equal to `next` when nothing is retained.
  std::uint64_t first = 0;
  // Offset of the next record to be appended.
  std::uint64_t next = 0;
  std::vector<LogRecord> records;
};

// The records of the stand-in log, in memory. Offsets start at 0 and are
// never reused.
class LogStore {
 public:
  explicit LogStore(Retention retention);

  // Appends a record and returns its offset.
  std::uint64_t Append(std::string data, core::TimePoint now);

  // Returns at most `max` records with an offset of at least `from`, limited
  // to about 1 MB of data. A `from` before the first retained record reads
  // from the first one.
  LogPage Read(std::uint64_t from, std::size_t max, core::TimePoint now);

 private:
  void Expire(core::TimePoint now);

  Retention retention_;
  std::deque<LogRecord> records_;
  std::uint64_t next_ = 0;
};

}  // namespace coltsfoottide::standin
