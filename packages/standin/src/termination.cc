#include "coltsfoottide/standin/termination.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <QObject>
#include <QSocketNotifier>
#include <csignal>
#include <utility>

namespace coltsfoottide::standin {
namespace {

class SignalFdTermination final : public Termination {
 public:
  explicit SignalFdTermination(std::function<void()> action) : action_(std::move(action)) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    fd_ = signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
    notifier_ = std::make_unique<QSocketNotifier>(fd_, QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated, notifier_.get(),
                     [this] { OnReadable(); });
  }

  ~SignalFdTermination() override {
    notifier_.reset();
    close(fd_);
  }

  SignalFdTermination(const SignalFdTermination&) = delete;
  SignalFdTermination& operator=(const SignalFdTermination&) = delete;

 private:
  void OnReadable() {
    signalfd_siginfo info{};
    if (read(fd_, &info, sizeof(info)) == static_cast<ssize_t>(sizeof(info))) {
      action_();
    }
  }

  std::function<void()> action_;
  int fd_ = -1;
  std::unique_ptr<QSocketNotifier> notifier_;
};

}  // namespace

std::unique_ptr<Termination> OnTermination(std::function<void()> action) {
  return std::make_unique<SignalFdTermination>(std::move(action));
}

}  // namespace coltsfoottide::standin
