#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// What the other entries last reported of themselves.
class PeerTable {
 public:
  struct Peer {
    std::uint64_t incarnation = 0;
    wire::EntryStatus status;
    TimePoint heard;
    // Time on this entry's clock after which the peer has sent the status,
    // proven by a round trip.
    std::optional<TimePoint> sent_after;
    // When the connection to the peer was last replaced.
    TimePoint reset;
    // Highest offset that this incarnation has reported.
    std::uint64_t reported = 0;
  };

  // Notes that a status was sent to all peers.
  void OnSent(TimePoint now);

  // Takes in a status; returns false for one older than the last.
  bool OnStatus(const std::string& from, std::uint64_t incarnation, const wire::EntryStatus& status,
                TimePoint now);

  // Forgets peers unheard for a minute, except those on the roster: what they
  // have reported counts until they are removed from it.
  void Expire(const std::vector<api::RosterItem>& roster, TimePoint now);

  // Returns true when no status of the peer has proven a round trip for longer
  // than `limit`, at most once in that time. Its connection is then replaced.
  bool TakeSilent(const std::string& endpoint, Duration limit, TimePoint now);

  const Peer* Find(const std::string& endpoint) const;
  // The peer, if its last status came from this incarnation.
  const Peer* Find(const std::string& endpoint, std::uint64_t incarnation) const;
  const std::map<std::string, Peer>& peers() const { return peers_; }

 private:
  std::map<std::string, Peer> peers_;
  std::deque<std::int64_t> sent_;
};

}  // namespace coltsfoottide::core
