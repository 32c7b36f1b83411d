#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::core {

// Chooses a stable random subset of workers for each agent. Workers and agents
// are placed on a ring by hash, and an agent gets the workers that follow it;
// so each worker is in about as many subsets as any other, and a change of one
// worker changes few subsets.
class CandidateRing {
 public:
  // The worker must outlive the ring.
  void Add(const api::WorkerInfo& worker);
  // Orders the ring; call once after the last Add.
  void Finish();

  // At most `limit` workers for each service. When there are more, three
  // quarters come from the agent's data centre, as far as it has them.
  std::vector<const api::WorkerInfo*> For(const std::string& endpoint,
                                          const std::string& data_centre, std::size_t limit) const;

 private:
  struct Place {
    std::uint64_t hash = 0;
    const api::WorkerInfo* worker = nullptr;
  };
  using Ring = std::vector<Place>;

  static void Take(const Ring& ring, std::uint64_t from, std::size_t count,
                   std::vector<const api::WorkerInfo*>* chosen);

  // By service, then by data centre.
  std::map<std::string, std::map<std::string, Ring>> rings_;
};

}  // namespace coltsfoottide::core
