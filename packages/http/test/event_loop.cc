#include "event_loop.h"

#include <QElapsedTimer>
#include <QTimer>

namespace coltsfoottide::http {

namespace {

constexpr int kStepMs = 10;
constexpr int kHangMs = 60'000;

}  // namespace

void EnsureApplication() {
  static int argc = 1;
  static char name[] = "test";
  static char* argv[] = {name, nullptr};
  static QCoreApplication application(argc, argv);
}

bool RunUntil(const std::function<bool()>& done) {
  QElapsedTimer elapsed;
  elapsed.start();
  // Wakes the event loop when no other event arrives.
  QTimer step;
  step.start(kStepMs);
  while (!done()) {
    if (elapsed.elapsed() > kHangMs) return false;
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
  }
  return true;
}

void RunFor(std::chrono::milliseconds time) {
  QElapsedTimer elapsed;
  elapsed.start();
  RunUntil([&] { return elapsed.elapsed() >= time.count(); });
}

}  // namespace coltsfoottide::http
