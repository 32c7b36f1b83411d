#include "coltsfoottide/direct/initial_view.h"

#include <chrono>

namespace coltsfoottide::direct {

namespace {

// Longest wait for a further view. Entries dial each other every 500 ms.
constexpr core::Duration kMaxWait = std::chrono::milliseconds(600);

}  // namespace

bool InitialView::Settled(bool has_peers, core::TimePoint now) {
  const bool complete = from_store_ && (from_peer_ || !has_peers);
  settled_ = settled_ || complete || now - started_ >= kMaxWait;
  return settled_;
}

}  // namespace coltsfoottide::direct
