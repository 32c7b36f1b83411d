#include "coltsfoottide/standin/timer_queue.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <QObject>
#include <cstdint>
#include <ctime>
#include <utility>

#include "coltsfoottide/standin/boot_time.h"

namespace coltsfoottide::standin {

TimerQueue::TimerQueue()
    : fd_(timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC)),
      notifier_(std::make_unique<QSocketNotifier>(fd_, QSocketNotifier::Read)) {
  QObject::connect(notifier_.get(), &QSocketNotifier::activated, notifier_.get(),
                   [this] { RunDue(); });
}

TimerQueue::~TimerQueue() {
  notifier_.reset();
  close(fd_);
}

void TimerQueue::After(core::Duration delay, std::function<void()> action) {
  const auto it = actions_.emplace(BootTime() + delay, std::move(action));
  if (it == actions_.begin()) {
    Arm();
  }
}

void TimerQueue::RunDue() {
  std::uint64_t expirations = 0;
  if (read(fd_, &expirations, sizeof(expirations)) <= 0) {
    return;
  }
  const core::TimePoint now = BootTime();
  while (!actions_.empty() && actions_.begin()->first <= now) {
    const auto due = actions_.extract(actions_.begin());
    due.mapped()();
  }
  Arm();
}

void TimerQueue::Arm() {
  if (actions_.empty()) {
    return;
  }
  const auto since_boot = actions_.begin()->first.time_since_epoch();
  const auto whole = std::chrono::floor<std::chrono::seconds>(since_boot);
  itimerspec spec{};
  spec.it_value.tv_sec = whole.count();
  spec.it_value.tv_nsec = std::chrono::nanoseconds(since_boot - whole).count();
  timerfd_settime(fd_, TFD_TIMER_ABSTIME, &spec, nullptr);
}

}  // namespace coltsfoottide::standin
