#pragma once

#include <cstdint>
#include <memory>

#include "coltsfoottide/daemon/settings.h"
#include "coltsfoottide/http/memory_budget.h"
#include "coltsfoottide/http/server.h"

namespace coltsfoottide::daemon {

class Logger;
class Metrics;

// The memory budget of all HTTP servers of a process, with its metrics and log line.
class ClientMemory {
 public:
  ClientMemory(const Settings& settings, Logger& logger, Metrics& metrics);

  // Limits of each server of the process.
  http::ServerLimits Limits() const;

  // Sets the gauges, and logs if requests were refused or connections closed since the last
  // call. To be called once a second.
  void Report();

 private:
  Logger& logger_;
  Metrics& metrics_;
  std::shared_ptr<http::MemoryBudget> budget_;
  std::uint64_t logged_refused_ = 0;
  std::uint64_t logged_closed_ = 0;
};

}  // namespace coltsfoottide::daemon
