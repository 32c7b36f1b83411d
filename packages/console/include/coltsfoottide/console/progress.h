#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace coltsfoottide::console {

// Reports on standard error that a call is still waiting, from 2 s on, while
// it exists: in place on a terminal, otherwise as a line every 10 s. It needs
// the event loop of the current Qt thread.
class Progress {
 public:
  virtual ~Progress() = default;
};

// `text` names what is waited for.
std::unique_ptr<Progress> ShowProgress(const char* text);

}  // namespace coltsfoottide::console
