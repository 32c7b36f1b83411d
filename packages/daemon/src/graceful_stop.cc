#include "graceful_stop.h"

#include <utility>

namespace coltsfoottide::daemon {

namespace {

constexpr std::chrono::milliseconds kPollInterval{20};
// Part of the time limit that is kept for the exit itself.
constexpr std::chrono::milliseconds kExitReserve{400};

}  // namespace

void GracefulStop::Begin(Plan plan) {
  plan_ = std::move(plan);
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Poll(); });
  timer_.start(kPollInterval);
}

void GracefulStop::Poll() {
  waited_ += kPollInterval;
  const bool out_of_time = waited_ + kExitReserve >= plan_.limit;
  if (waited_ < plan_.min_time || (!plan_.idle() && !out_of_time)) return;
  timer_.stop();
  plan_.on_end();
}

}  // namespace coltsfoottide::daemon
