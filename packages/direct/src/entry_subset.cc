#include "coltsfoottide/direct/entry_subset.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "coltsfoottide/core/stable_hash.h"

namespace coltsfoottide::direct {

namespace {

// Up to this number an agent connects to every entry.
constexpr std::size_t kMaxFullMesh = 16;
constexpr std::size_t kOwnDataCentreEntries = 8;
constexpr std::size_t kOtherDataCentres = 4;

// Rendezvous hashing: the names with the highest weights for this agent.
std::vector<std::string> HighestRanked(const std::string& agent, std::vector<std::string> names,
                                       std::size_t limit) {
  const std::uint64_t seed = core::StableHash(agent);
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(names.size());
  for (std::string& it : names) {
    const std::uint64_t weight = core::StableHash(it, seed);
    ranked.emplace_back(weight, std::move(it));
  }
  std::sort(ranked.rbegin(), ranked.rend());
  ranked.resize(std::min(limit, ranked.size()));
  std::vector<std::string> chosen;
  chosen.reserve(ranked.size());
  for (auto& [weight, name] : ranked) chosen.push_back(std::move(name));
  return chosen;
}

}  // namespace

std::set<std::string> ChooseEntries(const std::string& agent, const std::string& data_centre,
                                    const std::vector<EntryAddress>& known) {
  std::set<std::string> chosen;
  std::map<std::string, std::vector<std::string>> by_data_centre;
  for (const EntryAddress& it : known) {
    const bool unconditional = known.size() <= kMaxFullMesh || it.data_centre.empty();
    if (unconditional) {
      chosen.insert(it.name);
    } else {
      by_data_centre[it.data_centre].push_back(it.name);
    }
  }
  std::vector<std::string> others;
  for (const auto& [name, entries] : by_data_centre) {
    if (name != data_centre) others.push_back(name);
  }
  const auto add = [&](const std::string& name, std::size_t limit) {
    for (std::string& it : HighestRanked(agent, by_data_centre[name], limit)) {
      chosen.insert(std::move(it));
    }
  };
  add(data_centre, kOwnDataCentreEntries);
  for (const std::string& it : HighestRanked(agent, others, kOtherDataCentres)) add(it, 1);
  return chosen;
}

}  // namespace coltsfoottide::direct
