#include "coltsfoottide/daemon/signal_handler.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <QObject>
#include <QSocketNotifier>
#include <utility>

namespace coltsfoottide::daemon {
namespace {

class SignalFdHandler : public SignalHandler {
 public:
  SignalFdHandler(std::function<void()> on_stop, std::function<void()> on_reload)
      : fd_(OpenSignalFd()),
        notifier_(fd_, QSocketNotifier::Read),
        on_stop_(std::move(on_stop)),
        on_reload_(std::move(on_reload)) {
    QObject::connect(&notifier_, &QSocketNotifier::activated, &notifier_, [this] { OnReadable(); });
  }
  ~SignalFdHandler() override { close(fd_); }

 private:
  static int OpenSignalFd() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  }

  void OnReadable() {
    signalfd_siginfo info{};
    if (read(fd_, &info, sizeof(info)) != static_cast<ssize_t>(sizeof(info))) return;
    if (info.ssi_signo == SIGHUP) {
      on_reload_();
    } else {
      on_stop_();
    }
  }

  int fd_;
  QSocketNotifier notifier_;
  std::function<void()> on_stop_;
  std::function<void()> on_reload_;
};

}  // namespace

std::unique_ptr<SignalHandler> MakeSignalHandler(std::function<void()> on_stop,
                                                 std::function<void()> on_reload) {
  return std::make_unique<SignalFdHandler>(std::move(on_stop), std::move(on_reload));
}

}  // namespace coltsfoottide::daemon
