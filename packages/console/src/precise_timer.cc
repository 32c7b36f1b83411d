#include "coltsfoottide/console/precise_timer.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <QObject>
#include <QSocketNotifier>
#include <algorithm>
#include <cstdint>
#include <ctime>
#include <utility>

namespace coltsfoottide::console {
namespace {

class FdTimer final : public PreciseTimer {
 public:
  explicit FdTimer(std::function<void()> action)
      : action_(std::move(action)),
        fd_(timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC)),
        notifier_(fd_, QSocketNotifier::Read) {
    QObject::connect(&notifier_, &QSocketNotifier::activated, &notifier_, [this] { OnExpired(); });
  }

  ~FdTimer() override {
    notifier_.setEnabled(false);
    close(fd_);
  }

  FdTimer(const FdTimer&) = delete;
  FdTimer& operator=(const FdTimer&) = delete;

  void Set(core::TimePoint time) override {
    using std::chrono::nanoseconds;
    using std::chrono::seconds;
    // A time of 0 would disarm the timer.
    const auto since_boot = std::max(time.time_since_epoch(), core::Duration(1));
    const auto whole = std::chrono::floor<seconds>(since_boot);
    itimerspec spec{};
    spec.it_value.tv_sec = whole.count();
    spec.it_value.tv_nsec = nanoseconds(since_boot - whole).count();
    timerfd_settime(fd_, TFD_TIMER_ABSTIME, &spec, nullptr);
  }

 private:
  void OnExpired() {
    std::uint64_t expirations = 0;
    if (read(fd_, &expirations, sizeof(expirations)) > 0) {
      action_();
    }
  }

  std::function<void()> action_;
  int fd_;
  QSocketNotifier notifier_;
};

}  // namespace

std::unique_ptr<PreciseTimer> MakePreciseTimer(std::function<void()> action) {
  return std::make_unique<FdTimer>(std::move(action));
}

}  // namespace coltsfoottide::console
