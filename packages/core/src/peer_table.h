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

// The last status that each other entry (a peer) has sent to this one.
class PeerTable {
 public:
  struct Peer {
    std::uint64_t incarnation = 0;
    wire::EntryStatus status;
    TimePoint last_heard;
    // Time on this entry's clock after which the peer has sent the status,
    // proven by a round trip: the status echoes one that this process sent at
    // that time. Empty when it does not.
    std::optional<TimePoint> sent_after;
    // When the connection to the peer was last replaced.
    TimePoint last_reset;
    // Highest next offset that this incarnation has reported.
    std::uint64_t reported_next = 0;
  };

  // Records that a status was sent to all peers; they echo this time.
  void OnSent(TimePoint now);

  // Stores a status; returns false for one that is not newer than the last of
  // the same incarnation.
  bool OnStatus(const std::string& from, std::uint64_t incarnation, const wire::EntryStatus& status,
                TimePoint now);

  // Removes peers that have sent nothing for a minute, except those on the
  // roster: what they have reported counts until they are removed from it.
  void Expire(const std::vector<api::RosterItem>& roster, TimePoint now);

  // Returns whether the connection to the peer is to be replaced now: no status
  // has proven a round trip for longer than `limit`. Returns true at most once
  // in that time.
  bool ShouldResetLink(const std::string& endpoint, Duration limit, TimePoint now);

  const Peer* Find(const std::string& endpoint) const;
  // The peer, if its last status came from this incarnation.
  const Peer* Find(const std::string& endpoint, std::uint64_t incarnation) const;
  const std::map<std::string, Peer>& peers() const { return peers_; }

 private:
  std::map<std::string, Peer> peers_;
  // Times of the last statuses sent, in microseconds on this entry's clock.
  std::deque<std::int64_t> sent_times_us_;
};

}  // namespace coltsfoottide::core
