#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace coltsfoottide::direct {

// Identifies one task of a job.
struct TaskId {
  std::string job;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskId&) const = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace coltsfoottide::direct
