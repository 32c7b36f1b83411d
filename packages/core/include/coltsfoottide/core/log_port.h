#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace coltsfoottide::core {

// Part of the platform's log, as read.
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

// The platform's append-only log service. Ends are reported to
// EntryControl::OnAppendDone and EntryControl::OnReadDone.
class LogPort {
 public:
  virtual ~LogPort() = default;

  // Appends a record, once; never retried by the port.
  virtual void Append(std::uint64_t request, const std::string& record) = 0;
  // Reads records from the offset on.
  virtual void Read(std::uint64_t request, std::uint64_t from, std::uint32_t max_records) = 0;
};

}  // namespace coltsfoottide::core
