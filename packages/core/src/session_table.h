#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "replay_window.h"

namespace coltsfoottide::core {

// What a worker stores about one coordinator incarnation. Starts are accepted
// under the newest session only; a Resolve may name an older one.
struct CoordinatorLink {
  struct Session {
    std::uint64_t nonce = 0;
    std::uint64_t number = 0;
  };

  std::uint64_t incarnation = 0;
  std::string endpoint;
  std::deque<Session> sessions;
  ReplayWindow window;
  TimePoint last_received;
  // When and with which load the last message was sent to the coordinator.
  TimePoint load_sent = TimePoint::min();
  bool reported_accepting = false;
  bool reported_full = false;
};

// The sessions of a worker. Session numbers are random and never reused.
class SessionTable {
 public:
  explicit SessionTable(std::uint64_t seed) : random_(seed) {}

  // Returns the number of the session that the Hello opens; a repeated Hello
  // gets the same one.
  std::uint64_t Hello(std::uint64_t incarnation, const std::string& endpoint, std::uint64_t nonce,
                      TimePoint now);

  // Returns the coordinator, or null if it has no session.
  CoordinatorLink* Find(std::uint64_t incarnation);

  // Returns the coordinator if the session is its newest one, otherwise null.
  CoordinatorLink* FindCurrent(std::uint64_t incarnation, std::uint64_t session);

  // Returns the coordinator if the session is one of those stored for it,
  // otherwise null.
  CoordinatorLink* FindAny(std::uint64_t incarnation, std::uint64_t session);

  void Erase(std::uint64_t incarnation) { links_.erase(incarnation); }

  // Returns the incarnations whose last message arrived at or before `limit`.
  std::vector<std::uint64_t> InactiveSince(TimePoint limit) const;

  // Returns the other incarnations with the same endpoint.
  std::vector<std::uint64_t> OtherIncarnationsAt(const std::string& endpoint,
                                                 std::uint64_t incarnation) const;

  // Returns the incarnation whose last message is the oldest, if the table holds
  // more than its bound; otherwise nothing.
  std::vector<std::uint64_t> EvictionCandidates() const;

  std::unordered_map<std::uint64_t, CoordinatorLink>& links() { return links_; }

 private:
  std::mt19937_64 random_;
  std::unordered_map<std::uint64_t, CoordinatorLink> links_;
};

}  // namespace coltsfoottide::core
