#include "graceful_stop.h"

#include <utility>

namespace coltsfoottide::daemon {

namespace {

constexpr std::chrono::milliseconds kPoll{20};
// Left of the time for a graceful stop, for the exit itself.
constexpr std::chrono::milliseconds kReserve{400};

}  // namespace

void GracefulStop::Begin(Plan plan) {
  plan_ = std::move(plan);
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Poll(); });
  timer_.start(kPoll);
}

void GracefulStop::Poll() {
  waited_ += kPoll;
  const bool over = waited_ + kReserve >= plan_.limit;
  if (waited_ < plan_.least || (!plan_.idle() && !over)) return;
  timer_.stop();
  plan_.on_end();
}

}  // namespace coltsfoottide::daemon
