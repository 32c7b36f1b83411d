#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// Identifies a task across coordinators; the hashable form of wire::TaskId.
struct GlobalTaskKey {
  std::uint64_t coordinator = 0;
  std::uint64_t sequence = 0;
  std::uint32_t index = 0;

  static GlobalTaskKey From(const wire::TaskId& id) {
    return {id.coordinator(), id.sequence(), id.index()};
  }
  auto operator<=>(const GlobalTaskKey&) const = default;
};

struct GlobalTaskKeyHash {
  std::size_t operator()(const GlobalTaskKey& key) const {
    // The multiplier is 2^64 divided by the golden ratio; it spreads the
    // consecutive sequence numbers.
    constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
    const std::uint64_t mixed = (key.sequence * kMultiplier) ^ key.coordinator;
    return std::hash<std::uint64_t>()((mixed * kMultiplier) + key.index);
  }
};

}  // namespace coltsfoottide::core
