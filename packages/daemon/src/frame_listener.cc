#include "frame_listener.h"

#include <QTimer>
#include <chrono>
#include <utility>

namespace coltsfoottide::daemon {

namespace {

// After an outage of all entries, all agents may connect at once.
constexpr int kBacklog = 1024;
// Qt pauses accepting after an error such as "too many open files".
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

}  // namespace

FrameListener::FrameListener(std::function<void(qintptr)> on_accept)
    : on_accept_(std::move(on_accept)) {
  setListenBacklogSize(kBacklog);
  connect(this, &QTcpServer::acceptError, this,
          [this] { QTimer::singleShot(kAcceptRetryDelay, this, [this] { resumeAccepting(); }); });
}

}  // namespace coltsfoottide::daemon
