#pragma once

namespace coltsfoottide::daemon {

class Logger;

// While an object exists, messages of Qt and protobuf go to the logger instead
// of standard error, where they would be plain text. Only one object may exist
// at a time.
class LibraryMessages {
 public:
  explicit LibraryMessages(Logger& logger);
  ~LibraryMessages();
  LibraryMessages(const LibraryMessages&) = delete;
  LibraryMessages& operator=(const LibraryMessages&) = delete;
};

}  // namespace coltsfoottide::daemon
