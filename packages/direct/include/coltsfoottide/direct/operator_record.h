#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coltsfoottide/direct/configuration.h"

namespace coltsfoottide::direct {

// One record of the operator.
struct OperatorRecord {
  // Position in the operator's log.
  std::uint64_t offset = 0;
  // A configuration, or the data centre that is to be emptied.
  std::optional<Configuration> configuration;
  std::string evacuated;
  // False: the data centre takes work again.
  bool present = true;
};

}  // namespace coltsfoottide::direct
