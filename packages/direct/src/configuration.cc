#include "coltsfoottide/direct/configuration.h"

namespace coltsfoottide::direct {

const Route* Configuration::FindRoute(const std::string& host, const std::string& path) const {
  const Route* best = nullptr;
  for (const Route& it : routes) {
    if (it.host != host || !path.starts_with(it.path_prefix)) continue;
    if (best == nullptr || it.path_prefix.size() > best->path_prefix.size()) best = &it;
  }
  return best;
}

}  // namespace coltsfoottide::direct
