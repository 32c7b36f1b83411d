#include "coltsfoottide/daemon/random_id.h"

#include <random>

namespace coltsfoottide::daemon {

std::uint64_t MakeRandomId() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> bits(1);
  return bits(device);
}

}  // namespace coltsfoottide::daemon
