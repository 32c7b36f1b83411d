#pragma once

namespace coltsfoottide::daemon {

class Logger;

// While it lives, what Qt and protobuf report goes to the logger in place of
// plain text on standard error. One at a time.
class LibraryMessages {
 public:
  explicit LibraryMessages(Logger& logger);
  ~LibraryMessages();
  LibraryMessages(const LibraryMessages&) = delete;
  LibraryMessages& operator=(const LibraryMessages&) = delete;
};

}  // namespace coltsfoottide::daemon
