#include "candidate_ring.h"

#include <algorithm>

#include "stable_hash.h"

namespace coltsfoottide::core {
namespace {

// Agents and workers are the same processes; a seed of its own keeps an
// agent's place independent of its worker's.
constexpr std::uint64_t kAgentSeed = 1;
constexpr std::uint64_t kWorkerSeed = 2;

}  // namespace

void CandidateRing::Add(const api::WorkerInfo& worker) {
  rings_[worker.service()][worker.data_centre()].push_back(
      {StableHash(worker.endpoint(), kWorkerSeed), &worker});
}

void CandidateRing::Finish() {
  for (auto& [service, by_data_centre] : rings_) {
    for (auto& [data_centre, ring] : by_data_centre) {
      std::sort(ring.begin(), ring.end(),
                [](const Place& lhs, const Place& rhs) { return lhs.hash < rhs.hash; });
    }
  }
}

std::vector<const api::WorkerInfo*> CandidateRing::For(const std::string& endpoint,
                                                       const std::string& data_centre,
                                                       std::size_t limit) const {
  const std::uint64_t from = StableHash(endpoint, kAgentSeed);
  std::vector<const api::WorkerInfo*> chosen;
  for (const auto& [service, by_data_centre] : rings_) {
    std::size_t others = 0;
    for (const auto& [name, ring] : by_data_centre) {
      others += name == data_centre ? 0 : ring.size();
    }
    const auto own = by_data_centre.find(data_centre);
    const std::size_t own_size = own == by_data_centre.end() ? 0 : own->second.size();
    const std::size_t own_share = std::max(limit * 3 / 4, limit - std::min(limit, others));
    const std::size_t own_count = std::min(own_size, own_share);
    if (own_count > 0) {
      Take(own->second, from, own_count, &chosen);
    }
    // The rest is divided among the other data centres, smallest first, so
    // that what a small one cannot fill goes to the larger ones.
    std::vector<const Ring*> rest;
    for (const auto& [name, ring] : by_data_centre) {
      if (name != data_centre) {
        rest.push_back(&ring);
      }
    }
    std::sort(rest.begin(), rest.end(),
              [](const Ring* lhs, const Ring* rhs) { return lhs->size() < rhs->size(); });
    std::size_t left = limit - own_count;
    for (std::size_t n = 0; n < rest.size(); ++n) {
      const std::size_t count = std::min(rest[n]->size(), left / (rest.size() - n));
      Take(*rest[n], from, count, &chosen);
      left -= count;
    }
  }
  return chosen;
}

void CandidateRing::Take(const Ring& ring, std::uint64_t from, std::size_t count,
                         std::vector<const api::WorkerInfo*>* chosen) {
  auto it =
      std::lower_bound(ring.begin(), ring.end(), from,
                       [](const Place& place, std::uint64_t hash) { return place.hash < hash; });
  for (std::size_t n = 0; n < count; ++n, ++it) {
    if (it == ring.end()) {
      it = ring.begin();
    }
    chosen->push_back(it->worker);
  }
}

}  // namespace coltsfoottide::core
