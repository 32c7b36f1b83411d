#pragma once

namespace coltsfoottide::daemon {

class Logger;

// While an object exists, messages of Qt and protobuf go to the logger instead
// of standard error, where they would be plain text. Only one object may exist
// at a time.
class LibraryLogHandler {
 public:
  explicit LibraryLogHandler(Logger& logger);
  ~LibraryLogHandler();
  LibraryLogHandler(const LibraryLogHandler&) = delete;
  LibraryLogHandler& operator=(const LibraryLogHandler&) = delete;
};

}  // namespace coltsfoottide::daemon
