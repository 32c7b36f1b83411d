#pragma once

#include <functional>
#include <memory>

namespace coltsfoottide::standin {

// Delivers SIGTERM and SIGINT as a call on the Qt thread while it exists.
class Termination {
 public:
  virtual ~Termination() = default;
};

// Blocks both signals for the process, so it must be called before other
// threads are started.
std::unique_ptr<Termination> OnTermination(std::function<void()> action);

}  // namespace coltsfoottide::standin
