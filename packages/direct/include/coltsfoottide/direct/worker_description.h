#pragma once

#include <string>
#include <vector>

#include "coltsfoottide/direct/resources.h"

namespace coltsfoottide::direct {

// What a backend server is. Changes only with its reports, so entries are told
// it only then.
struct WorkerDescription {
  std::string service;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  // All it has for tasks.
  Resources total;

  bool operator==(const WorkerDescription&) const = default;
};

}  // namespace coltsfoottide::direct
