#pragma once

#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/direct/entry_address.h"

namespace coltsfoottide::direct {

// Returns the names of the entries that an agent keeps connections to: all while
// there are few, otherwise most of its own data centre and one in each of some
// other data centres, chosen by rendezvous hashing. The number of connections is
// bounded whatever the size of the fleet, an entry that comes or leaves changes
// few of them, and the agents of a data centre spread evenly over the entries of
// another. Entries whose data centre is not known yet are always included.
// `agent` is the agent's name and `data_centre` its own data centre.
std::set<std::string> ChooseEntries(const std::string& agent, const std::string& data_centre,
                                    const std::vector<EntryAddress>& known);

}  // namespace coltsfoottide::direct
