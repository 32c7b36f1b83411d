#pragma once

#include <map>
#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Routes of which a task was lately found to crash backend servers, by this entry or
// another one.
class CrashingRoutes {
 public:
  // A task of the route was found at this time.
  void OnFound(const std::string& route, core::TimePoint time);

  // The routes with a recent finding, and the time of the last one.
  std::map<std::string, core::TimePoint> Recent(core::TimePoint now) const;

 private:
  std::map<std::string, core::TimePoint> last_found_;
};

}  // namespace coltsfoottide::direct
