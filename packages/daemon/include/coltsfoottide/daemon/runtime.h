#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coltsfoottide::daemon {

class Logger;
class Metrics;
struct RuntimeHooks;
struct Settings;

// Why a daemon could not start; one line.
struct RuntimeError {
  std::string message;
};

// A daemon process in one role. Made, started and destroyed on the Qt thread.
class Runtime {
 public:
  virtual ~Runtime() = default;

  // Opens the sockets and starts the threads.
  virtual std::optional<RuntimeError> Start() = 0;

  // Applies the settings that may change at run time: additional entries, for
  // the direct roles only. All other changes take effect at the next start.
  virtual void Reload(const Settings& /*settings*/) {}

  // Stops gracefully: accepts no new work, finishes what is in progress, and
  // then calls `on_stopped` on the Qt thread.
  virtual void BeginStop(std::function<void()> on_stopped) = 0;
};

// Makes the runtime of the role in the settings.
std::unique_ptr<Runtime> MakeRuntime(const Settings& settings, const RuntimeHooks& hooks,
                                     Logger& logger, Metrics& metrics);

}  // namespace coltsfoottide::daemon
