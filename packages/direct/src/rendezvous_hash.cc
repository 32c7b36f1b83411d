#include "coltsfoottide/direct/rendezvous_hash.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "coltsfoottide/core/stable_hash.h"

namespace coltsfoottide::direct {

std::vector<std::string> HighestRanked(const std::string& key,
                                       const std::vector<std::string>& names, std::size_t limit) {
  const std::uint64_t seed = core::StableHash(key);
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(names.size());
  for (const std::string& it : names) ranked.emplace_back(core::StableHash(it, seed), it);
  std::sort(ranked.rbegin(), ranked.rend());
  ranked.resize(std::min(limit, ranked.size()));
  std::vector<std::string> chosen;
  chosen.reserve(ranked.size());
  for (auto& [weight, name] : ranked) chosen.push_back(std::move(name));
  return chosen;
}

}  // namespace coltsfoottide::direct
