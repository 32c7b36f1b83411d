#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoottide/direct/resources.h"

namespace coltsfoottide::direct {

// What a backend server says of itself.
struct WorkerReport {
  std::string id;
  // Distinguishes the lives of a backend server that keeps its id; later ones
  // are higher.
  std::int64_t life = 0;
  // Rises within one life.
  std::uint64_t sequence = 0;
  std::string service;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  Resources room;
  bool draining = false;
};

}  // namespace coltsfoottide::direct
