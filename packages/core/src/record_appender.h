#pragma once

#include <cstdint>

#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// Appends records for the parts of an entry's control.
class RecordAppender {
 public:
  virtual ~RecordAppender() = default;

  // Sends one append and returns its request number.
  virtual std::uint64_t Append(const wire::LogRecord& record) = 0;
};

}  // namespace coltsfoottide::core
