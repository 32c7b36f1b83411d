#include "frame_listener.h"

#include <utility>

namespace coltsfoottide::daemon {

// All agents may connect at once, after a loss of all entries.
constexpr int kBacklog = 1024;

FrameListener::FrameListener(std::function<void(qintptr)> on_accept)
    : on_accept_(std::move(on_accept)) {
  setListenBacklogSize(kBacklog);
}

}  // namespace coltsfoottide::daemon
