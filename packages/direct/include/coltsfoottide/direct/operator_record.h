#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coltsfoottide/direct/configuration.h"

namespace coltsfoottide::direct {

// A record in the operator's log: a configuration, or the start or end of the
// evacuation of a data centre.
struct OperatorRecord {
  // Position in the operator's log.
  std::uint64_t offset = 0;
  // Set in a configuration record; otherwise `evacuated_data_centre` is the
  // data centre.
  std::optional<Configuration> configuration;
  std::string evacuated_data_centre;
  // Whether the evacuation is in force; if false, the data centre takes work
  // again.
  bool evacuation_active = true;
};

}  // namespace coltsfoottide::direct
