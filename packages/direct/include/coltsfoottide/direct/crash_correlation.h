#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/worker_crash.h"

namespace coltsfoottide::direct {

// Finds a route whose tasks crash backend servers, from crashes under different tasks.
// CrashHistory finds a task by its second crash, but a lost task is started again only when its
// former run is certainly over, and is then mostly too late. Causes crash their backend servers
// at the same time after each start; tasks of other routes that run there have run for any time.
class CrashCorrelation {
 public:
  // Takes a report of the agent. Crashes that are only suspected count, those that are retracted
  // do not. Returns the route that explains more of the latest crashes than any other, if they
  // are enough to show a cause.
  std::optional<std::string> OnCrash(const std::string& agent, const WorkerCrash& crash);

 private:
  struct Crash {
    std::string agent;
    std::int64_t incarnation = 0;
    core::TimePoint time;
    // Times since the starts of its latest runs, by route.
    std::map<std::string, std::vector<core::Duration>> ran_for;
  };

  // Whether the crash may be the same event as another one.
  bool IsBesideAnother(const WorkerCrash& crash) const;
  void Add(const std::string& agent, const WorkerCrash& crash);
  std::optional<std::string> FindCause() const;
  // The most crashes under runs of the route that had run for the same time.
  std::size_t CountAlike(const std::string& route) const;

  // In the order of their reports.
  std::deque<Crash> crashes_;
};

}  // namespace coltsfoottide::direct
