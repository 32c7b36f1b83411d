#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoottide/direct/resources.h"

namespace coltsfoottide::direct {

// Properties of a backend server. They change only with its reports, so agents
// send them to entries only then.
struct WorkerDescription {
  std::string service;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  // All resources that it has for tasks.
  Resources total;
  // Of the backend server, see WorkerReport; 0 if it is not known.
  std::int64_t incarnation = 0;

  // Whether the backend server has the label.
  bool HasLabel(const std::string& label) const {
    return std::find(labels.begin(), labels.end(), label) != labels.end();
  }

  bool operator==(const WorkerDescription&) const = default;
};

}  // namespace coltsfoottide::direct
