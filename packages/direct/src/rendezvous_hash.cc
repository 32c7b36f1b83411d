#include "coltsfoottide/direct/rendezvous_hash.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

#include "coltsfoottide/core/stable_hash.h"

namespace coltsfoottide::direct {

std::vector<std::string> HighestRanked(const std::string& key,
                                       const std::vector<std::string>& names, std::size_t limit) {
  const std::uint64_t seed = core::StableHash(key);
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(names.size());
  for (const std::string& it : names) ranked.emplace_back(core::StableHash(it, seed), it);
  const auto chosen_end =
      ranked.begin() + static_cast<std::ptrdiff_t>(std::min(limit, ranked.size()));
  std::partial_sort(ranked.begin(), chosen_end, ranked.end(), std::greater<>());
  ranked.erase(chosen_end, ranked.end());
  std::vector<std::string> chosen;
  chosen.reserve(ranked.size());
  for (auto& [weight, name] : ranked) chosen.push_back(std::move(name));
  return chosen;
}

}  // namespace coltsfoottide::direct
