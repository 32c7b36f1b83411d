#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/resources.h"

namespace coltsfoottide::direct {

// Equal tasks of a job that become ready together.
struct StepRequest {
  std::uint32_t count = 0;
  Resources need;
  // The caller's estimate of one task on an undisturbed backend server.
  core::Duration estimate{};
  // Positions of the steps all of whose tasks must be done first.
  std::vector<std::uint32_t> after;
  // A label that the backend server must have, or empty.
  std::string required_label;
  // The rack that holds the data, or empty.
  std::string data_rack;
  // Largest number of tasks of the step on one backend server at a time; 0
  // means no limit.
  std::uint32_t max_per_worker = 0;
};

}  // namespace coltsfoottide::direct
