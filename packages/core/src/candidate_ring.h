#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::core {

// Chooses a stable random subset of workers for each agent by consistent
// hashing. Workers and agents have points on a ring by hash, and an agent gets
// the workers that follow it; so each worker is in about as many subsets as any
// other, and a change of one worker changes few subsets.
class CandidateRing {
 public:
  // The worker must outlive the ring.
  void Add(const api::WorkerInfo& worker);
  // Sorts the rings; call once after the last Add.
  void Sort();

  // At most `limit` workers for each service. When there are more, three
  // quarters come from the agent's data centre, as far as it has them.
  std::vector<const api::WorkerInfo*> Select(const std::string& endpoint,
                                             const std::string& data_centre,
                                             std::size_t limit) const;

 private:
  struct Point {
    std::uint64_t hash = 0;
    const api::WorkerInfo* worker = nullptr;
  };
  using Ring = std::vector<Point>;

  // Appends `count` workers to `chosen`, from the hash `from` on.
  static void SelectFrom(const Ring& ring, std::uint64_t from, std::size_t count,
                         std::vector<const api::WorkerInfo*>* chosen);

  // By service, then by data centre.
  std::map<std::string, std::map<std::string, Ring>> rings_;
};

}  // namespace coltsfoottide::core
