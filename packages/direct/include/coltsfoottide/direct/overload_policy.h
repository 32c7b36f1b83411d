#pragma once

namespace coltsfoottide::direct {

// How entries and agents decide what is delayed or refused under overload.
enum class OverloadPolicy {
  // All jobs alike, whatever their priority.
  kShared,
  // Less urgent jobs first, see SheddingPolicy.
  kPriority,
};

}  // namespace coltsfoottide::direct
