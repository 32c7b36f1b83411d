#pragma once

#include <string>

namespace coltsfoottide::direct {

// Where an entry is found.
struct EntryAddress {
  // IP address, by which processes identify the entry.
  std::string name;
  // Empty if not known yet.
  std::string data_centre;

  bool operator==(const EntryAddress&) const = default;
};

}  // namespace coltsfoottide::direct
