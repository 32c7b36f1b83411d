#pragma once

#include <cstdint>
#include <tuple>

namespace coltsfoottide::core {

// Identifies a task within one coordinator incarnation.
struct TaskKey {
  std::uint64_t sequence = 0;
  std::uint32_t index = 0;

  bool operator==(const TaskKey&) const = default;
  bool operator<(const TaskKey& other) const {
    return std::tie(sequence, index) < std::tie(other.sequence, other.index);
  }
};

}  // namespace coltsfoottide::core
