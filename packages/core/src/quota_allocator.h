#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// Returns one entry's share, 0 to 1, of a team's quota. `demands` holds each
// entry's demand and `own` is the index of this entry. Shares follow demand
// with a minimum of 1/(20 x entries). They are then scaled, so that they add up
// to 1 when all entries compute with the same demands; a scaled share may be
// slightly below the minimum.
double QuotaShare(const std::vector<double>& demands, std::size_t own);

// A team's demand in an entry's report, 0 if it is not there.
double DemandOf(const std::vector<wire::TeamDemand>& demand, const std::string& team);

}  // namespace coltsfoottide::core
