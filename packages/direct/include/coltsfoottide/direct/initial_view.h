#pragma once

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Decides when a new process may act on the operator's records that it has read. The first
// source to answer may be behind what an earlier process of this entry acted on: another
// entry that is cut off from the store, or the store itself by some seconds. The view of the
// store together with that of another entry is enough; while one of them is missing, the
// process waits for further ones, but not for long.
class InitialView {
 public:
  explicit InitialView(core::TimePoint started) : started_(started) {}

  // The store has answered a read of this process.
  void OnStoreView() { from_store_ = true; }
  // Another entry has sent its view.
  void OnPeerView() { from_peer_ = true; }

  // `has_peers`: whether other entries are known. Stays true once it is.
  bool Settled(bool has_peers, core::TimePoint now);

 private:
  core::TimePoint started_;
  bool from_store_ = false;
  bool from_peer_ = false;
  bool settled_ = false;
};

}  // namespace coltsfoottide::direct
