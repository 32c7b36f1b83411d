#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

class ConfigState;
class Directory;

// Admission control of an entry: decides whether a job goes on to a coordinator,
// by its service, its tasks' needs, its deadline and its team's quota. Not
// thread-safe.
class Admission {
 public:
  Admission();
  ~Admission();
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  // Returns the refusal, always NOT_RUN, or nothing when the job is admitted.
  // A repeated submission of a ticket that this entry has admitted takes no
  // quota.
  std::optional<api::Error> Admit(const api::SubmitRequest& request, const ConfigState& config,
                                  const Directory& directory, TimePoint now);

  // Recomputes this entry's share of each quota from the demand of all entries;
  // `peer_demand` is that of the others.
  void Rebalance(const ConfigState& config,
                 const std::vector<std::vector<wire::TeamDemand>>& peer_demand, TimePoint now);

  // This entry's demand of each team, to report to the other entries.
  std::vector<wire::TeamDemand> OwnDemand(TimePoint now) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace coltsfoottide::core
