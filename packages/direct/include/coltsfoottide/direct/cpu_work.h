#pragma once

#include <chrono>
#include <cstdint>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/resources.h"

namespace coltsfoottide::direct {

// CPU work of a run of this duration, in millicore-milliseconds.
inline std::uint64_t CpuWork(const Resources& need, core::Duration duration) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  return need.cpu_millicores * static_cast<std::uint64_t>(ms.count());
}

}  // namespace coltsfoottide::direct
