#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace coltsfoottide::direct {

// Rendezvous hashing: the `limit` names with the highest weights for the key, highest
// first. Processes that know the same names choose the same ones, and a name that
// comes or goes changes at most one choice.
std::vector<std::string> HighestRanked(const std::string& key,
                                       const std::vector<std::string>& names, std::size_t limit);

}  // namespace coltsfoottide::direct
