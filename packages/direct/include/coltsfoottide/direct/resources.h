#pragma once

#include <cstdint>

namespace coltsfoottide::direct {

// Resources that a task needs or a backend server has.
struct Resources {
  std::uint64_t cpu_millicores = 0;
  std::uint64_t memory_mb = 0;
  std::uint64_t accelerators = 0;

  bool operator==(const Resources&) const = default;

  bool Fits(const Resources& need) const {
    return need.cpu_millicores <= cpu_millicores && need.memory_mb <= memory_mb &&
           need.accelerators <= accelerators;
  }
  void Add(const Resources& need) {
    cpu_millicores += need.cpu_millicores;
    memory_mb += need.memory_mb;
    accelerators += need.accelerators;
  }
  // Subtracts the need; a resource of which less is left becomes zero.
  void Subtract(const Resources& need) {
    cpu_millicores -= need.cpu_millicores < cpu_millicores ? need.cpu_millicores : cpu_millicores;
    memory_mb -= need.memory_mb < memory_mb ? need.memory_mb : memory_mb;
    accelerators -= need.accelerators < accelerators ? need.accelerators : accelerators;
  }
};

}  // namespace coltsfoottide::direct
