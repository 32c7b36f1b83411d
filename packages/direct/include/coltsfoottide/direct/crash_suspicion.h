#pragma once

#include <map>
#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Presumes the cause of a crash from earlier ones: after a task of a route was found to
// crash backend servers, a task of the same route that had run for a similar time at
// the next crash is suspected. It then costs one backend server and not two.
class CrashSuspicion {
 public:
  // A route with such tasks.
  struct Route {
    // Longest time that a task had run when it crashed a backend server.
    core::Duration ran_for{};
    // When the last such task was found.
    core::TimePoint time;
  };

  // A task of the route that had run for this time was found to be the cause at `time`.
  void OnCause(const std::string& route, core::Duration ran_for, core::TimePoint time);

  // A suspected task of the route was there at another crash, at `time`.
  void Extend(const std::string& route, core::TimePoint time);

  bool IsSuspect(const std::string& route, core::Duration ran_for, core::TimePoint now) const;

  // Routes that are under suspicion, by name.
  std::map<std::string, Route> Routes(core::TimePoint now) const;

 private:
  std::map<std::string, Route> routes_;
};

}  // namespace coltsfoottide::direct
