#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::core {

// Number of entries that make a majority of a roster of this size.
std::size_t MajorityOf(std::size_t roster_size);

// Returns whether the entries that agree are a majority of the roster, and of
// every smaller roster that an entry which has not agreed may still hold.
// Without the latter, entries that register while others are cut off from the
// log could outvote those others, who hold evidence from the older roster.
// `reported_next` returns the next offset that an entry is known to have applied
// up to, or 0; an entry that votes has applied at least its own registration.
bool HasMajority(const std::vector<api::RosterItem>& roster,
                 const std::function<bool(const api::RosterItem&)>& agrees,
                 const std::function<std::uint64_t(const api::RosterItem&)>& reported_next);

}  // namespace coltsfoottide::core
