#pragma once

#include <chrono>
#include <cstdint>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/resources.h"

namespace coltsfoottide::direct {

// What a run of this length takes, in millicores times milliseconds.
inline std::uint64_t CpuWork(const Resources& need, core::Duration length) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(length);
  return need.cpu_millicores * static_cast<std::uint64_t>(ms.count());
}

}  // namespace coltsfoottide::direct
