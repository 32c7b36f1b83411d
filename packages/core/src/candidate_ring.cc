#include "candidate_ring.h"

#include <algorithm>

#include "coltsfoottide/core/stable_hash.h"

namespace coltsfoottide::core {
namespace {

// Each agent's process is also a worker; different seeds keep its point as an
// agent independent of its point as a worker.
constexpr std::uint64_t kAgentSeed = 1;
constexpr std::uint64_t kWorkerSeed = 2;

}  // namespace

void CandidateRing::Add(const api::WorkerInfo& worker) {
  rings_[worker.service()][worker.data_centre()].push_back(
      {StableHash(worker.endpoint(), kWorkerSeed), &worker});
}

void CandidateRing::Sort() {
  for (auto& [service, by_data_centre] : rings_) {
    for (auto& [data_centre, ring] : by_data_centre) {
      std::sort(ring.begin(), ring.end(),
                [](const Point& lhs, const Point& rhs) { return lhs.hash < rhs.hash; });
    }
  }
}

std::vector<const api::WorkerInfo*> CandidateRing::Select(const std::string& endpoint,
                                                          const std::string& data_centre,
                                                          std::size_t limit) const {
  const std::uint64_t from = StableHash(endpoint, kAgentSeed);
  std::vector<const api::WorkerInfo*> chosen;
  for (const auto& [service, by_data_centre] : rings_) {
    std::size_t other_size = 0;
    for (const auto& [name, ring] : by_data_centre) {
      other_size += name == data_centre ? 0 : ring.size();
    }
    const auto own = by_data_centre.find(data_centre);
    const std::size_t own_size = own == by_data_centre.end() ? 0 : own->second.size();
    const std::size_t own_limit = std::max(limit * 3 / 4, limit - std::min(limit, other_size));
    const std::size_t own_count = std::min(own_size, own_limit);
    if (own_count > 0) {
      SelectFrom(own->second, from, own_count, &chosen);
    }
    // The rest is divided among the other data centres, smallest first, so
    // that what a small one cannot fill goes to the larger ones.
    std::vector<const Ring*> other_rings;
    for (const auto& [name, ring] : by_data_centre) {
      if (name != data_centre) {
        other_rings.push_back(&ring);
      }
    }
    std::sort(other_rings.begin(), other_rings.end(),
              [](const Ring* lhs, const Ring* rhs) { return lhs->size() < rhs->size(); });
    std::size_t remaining = limit - own_count;
    for (std::size_t n = 0; n < other_rings.size(); ++n) {
      const std::size_t count =
          std::min(other_rings[n]->size(), remaining / (other_rings.size() - n));
      SelectFrom(*other_rings[n], from, count, &chosen);
      remaining -= count;
    }
  }
  return chosen;
}

void CandidateRing::SelectFrom(const Ring& ring, std::uint64_t from, std::size_t count,
                               std::vector<const api::WorkerInfo*>* chosen) {
  auto it =
      std::lower_bound(ring.begin(), ring.end(), from,
                       [](const Point& point, std::uint64_t hash) { return point.hash < hash; });
  for (std::size_t n = 0; n < count; ++n, ++it) {
    if (it == ring.end()) {
      it = ring.begin();
    }
    chosen->push_back(it->worker);
  }
}

}  // namespace coltsfoottide::core
