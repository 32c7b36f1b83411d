#include "majority.h"

#include <algorithm>
#include <limits>

namespace coltsfoottide::core {
namespace {

// Whether a majority agrees among the entries whose seat (the offset at which
// their endpoint was last added to the roster) is below the limit.
bool MajorityBelow(const std::vector<api::RosterItem>& roster, const std::vector<bool>& agreed,
                   std::uint64_t seat_limit) {
  std::size_t size = 0;
  std::size_t votes = 0;
  for (std::size_t n = 0; n < roster.size(); ++n) {
    if (roster[n].seat() < seat_limit) {
      ++size;
      votes += agreed[n] ? 1 : 0;
    }
  }
  return size == 0 || votes >= MajorityOf(size);
}

}  // namespace

std::size_t MajorityOf(std::size_t roster_size) { return roster_size / 2 + 1; }

bool HasMajority(const std::vector<api::RosterItem>& roster,
                 const std::function<bool(const api::RosterItem&)>& agrees,
                 const std::function<std::uint64_t(const api::RosterItem&)>& reported_next) {
  if (roster.empty()) {
    return false;
  }
  std::vector<bool> agreed;
  // Lowest offset whose roster an entry that has not agreed may still hold.
  std::uint64_t oldest_offset = std::numeric_limits<std::uint64_t>::max();
  for (const auto& item : roster) {
    agreed.push_back(agrees(item));
    if (!agreed.back()) {
      oldest_offset = std::min(oldest_offset, std::max(reported_next(item), item.version() + 1));
    }
  }
  if (!MajorityBelow(roster, agreed, std::numeric_limits<std::uint64_t>::max())) {
    return false;
  }
  return std::all_of(roster.begin(), roster.end(), [&](const api::RosterItem& item) {
    return item.seat() < oldest_offset || MajorityBelow(roster, agreed, item.seat());
  });
}

}  // namespace coltsfoottide::core
