#include "frame_listener.h"

#include <utility>

namespace coltsfoottide::daemon {

// After an outage of all entries, all agents may connect at once.
constexpr int kBacklog = 1024;

FrameListener::FrameListener(std::function<void(qintptr)> on_accept)
    : on_accept_(std::move(on_accept)) {
  setListenBacklogSize(kBacklog);
}

}  // namespace coltsfoottide::daemon
