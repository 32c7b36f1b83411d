#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace coltsfoottide::direct {

// One task of a job that its caller has named.
struct TaskId {
  std::string job;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskId&) const = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace coltsfoottide::direct
