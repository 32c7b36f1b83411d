#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// Identity of one task of one submission, usable as a hash key.
struct StartKey {
  std::uint64_t coordinator = 0;
  std::uint64_t sequence = 0;
  std::uint32_t index = 0;

  static StartKey From(const wire::TaskId& id) {
    return {id.coordinator(), id.sequence(), id.index()};
  }
  auto operator<=>(const StartKey&) const = default;
};

struct StartKeyHash {
  std::size_t operator()(const StartKey& key) const {
    // The multiplier is 2^64 divided by the golden ratio; it spreads the
    // consecutive sequence numbers.
    constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
    const std::uint64_t mixed = (key.sequence * kMultiplier) ^ key.coordinator;
    return std::hash<std::uint64_t>()((mixed * kMultiplier) + key.index);
  }
};

}  // namespace coltsfoottide::core
