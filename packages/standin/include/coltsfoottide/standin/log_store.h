#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::standin {

// Limits on the records kept; both apply.
struct Retention {
  std::size_t max_records = 100'000;
  std::chrono::milliseconds max_age = std::chrono::hours(1);
};

struct LogRecord {
  std::uint64_t offset = 0;
  core::TimePoint appended_at;
  std::string data;
};

// The result of a read: records and the range of offsets retained.
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

  // Returns at most `max` records, and about 1 MB of data, from the offset `from`
  // on, or from the first retained record if that is later.
  LogPage Read(std::uint64_t from, std::size_t max, core::TimePoint now);

 private:
  // Removes the records beyond the retention limits.
  void Expire(core::TimePoint now);

  Retention retention_;
  std::deque<LogRecord> records_;
  std::uint64_t next_ = 0;
};

}  // namespace coltsfoottide::standin
