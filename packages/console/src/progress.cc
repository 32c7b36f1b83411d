#include "coltsfoottide/console/progress.h"

#include <unistd.h>

#include <QElapsedTimer>
#include <QObject>
#include <QTimer>
#include <iostream>
#include <string>

namespace coltsfoottide::console {
namespace {

constexpr qint64 kFirstReportSeconds = 2;
constexpr qint64 kLineIntervalSeconds = 10;

class TimerProgress final : public Progress {
 public:
  explicit TimerProgress(const char* text) : text_(text), terminal_(isatty(STDERR_FILENO) == 1) {
    elapsed_.start();
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Report(); });
    timer_.start(std::chrono::seconds(1));
  }

  ~TimerProgress() override {
    if (terminal_ && shown_) {
      std::cerr << "\r\033[K" << std::flush;
    }
  }

  TimerProgress(const TimerProgress&) = delete;
  TimerProgress& operator=(const TimerProgress&) = delete;

 private:
  void Report() {
    const qint64 seconds = elapsed_.elapsed() / 1000;
    if (seconds < kFirstReportSeconds || (!terminal_ && seconds % kLineIntervalSeconds != 0)) {
      return;
    }
    shown_ = true;
    std::cerr << (terminal_ ? "\r\033[K" : "") << "waiting for " << text_ << ", " << seconds << " s"
              << (terminal_ ? "" : "\n") << std::flush;
  }

  const char* text_;
  bool terminal_;
  bool shown_ = false;
  QElapsedTimer elapsed_;
  QTimer timer_;
};

}  // namespace

std::unique_ptr<Progress> ShowProgress(const char* text) {
  return std::make_unique<TimerProgress>(text);
}

}  // namespace coltsfoottide::console
