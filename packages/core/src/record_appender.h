#pragma once

#include <cstdint>

#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// Appends records to the log for the parts of EntryControl.
class RecordAppender {
 public:
  virtual ~RecordAppender() = default;

  // Sends one append and returns its request number, by which the completion is
  // reported.
  virtual std::uint64_t Append(const wire::LogRecord& record) = 0;
};

}  // namespace coltsfoottide::core
