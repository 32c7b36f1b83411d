#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace coltsfoottide::direct {

// Number of priorities that decisions under overload tell apart. All less urgent
// ones count as the last, which bounds the state of entries and the size of an
// agent's messages. The target deployments use three.
inline constexpr std::size_t kPriorityClasses = 4;

// The class of a priority; 0 is the most urgent.
inline std::size_t PriorityClass(std::uint32_t priority) {
  return std::min<std::size_t>(priority, kPriorityClasses - 1);
}

// Queued work in millicore-milliseconds by priority class.
using WorkByPriority = std::array<std::uint64_t, kPriorityClasses>;

}  // namespace coltsfoottide::direct
