#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace coltsfoottide::console {

// While the object exists, reports on standard error that a call is waiting:
// from 2 s on, updated in place on a terminal, otherwise as a line every 10 s.
// It needs the event loop of the current Qt thread.
class Progress {
 public:
  virtual ~Progress() = default;
};

// `text` completes the message "waiting for ...".
std::unique_ptr<Progress> ShowProgress(const char* text);

}  // namespace coltsfoottide::console
