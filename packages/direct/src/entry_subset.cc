#include "coltsfoottide/direct/entry_subset.h"

#include <map>
#include <utility>

#include "coltsfoottide/direct/rendezvous_hash.h"

namespace coltsfoottide::direct {

namespace {

// Up to this number an agent connects to every entry.
constexpr std::size_t kMaxFullMesh = 16;
constexpr std::size_t kOwnDataCentreEntries = 8;
constexpr std::size_t kOtherDataCentres = 4;

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
