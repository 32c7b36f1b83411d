#pragma once

#include <functional>
#include <memory>

namespace coltsfoottide::standin {

// While the object exists, SIGTERM and SIGINT call its action on the Qt thread.
class Termination {
 public:
  virtual ~Termination() = default;
};

// Blocks both signals for the process, so it must be called before other
// threads are started.
std::unique_ptr<Termination> OnTermination(std::function<void()> action);

}  // namespace coltsfoottide::standin
