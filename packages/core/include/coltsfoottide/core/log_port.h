#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace coltsfoottide::core {

// A batch of records that one read of the platform's log has returned.
struct LogBatch {
  struct Record {
    std::uint64_t offset = 0;
    std::string data;
  };
  // First offset that the log still retains.
  std::uint64_t first = 0;
  // Offset that the next append will get.
  std::uint64_t next = 0;
  std::vector<Record> records;
};

// The platform's append-only log service. Completed requests are reported to
// EntryControl::OnAppendDone and EntryControl::OnReadDone.
class LogPort {
 public:
  virtual ~LogPort() = default;

  // Sends one append of the record; the port never retries it.
  virtual void Append(std::uint64_t request, const std::string& record) = 0;
  // Reads at most `max_records` records, from the offset `from` on.
  virtual void Read(std::uint64_t request, std::uint64_t from, std::uint32_t max_records) = 0;
};

}  // namespace coltsfoottide::core
