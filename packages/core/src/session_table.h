#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "start_window.h"

namespace coltsfoottide::core {

// What a worker knows of one coordinator incarnation. Starts are accepted
// under the newest session only; older ones can still be resolved.
struct CoordinatorLink {
  struct Session {
    std::uint64_t nonce = 0;
    std::uint64_t number = 0;
  };

  std::uint64_t incarnation = 0;
  std::string endpoint;
  std::deque<Session> sessions;
  StartWindow window;
  TimePoint heard;
  // What the last message to the coordinator said of the load.
  TimePoint load_sent = TimePoint::min();
  bool told_accepting = false;
  bool told_full = false;
};

// The sessions of a worker: numbers are random and never used again.
class SessionTable {
 public:
  explicit SessionTable(std::uint64_t seed) : random_(seed) {}

  // Returns the session of the Hello; the same for a repeated Hello.
  std::uint64_t Hello(std::uint64_t incarnation, const std::string& endpoint, std::uint64_t nonce,
                      TimePoint now);

  // Returns the coordinator, or null if it has no session.
  CoordinatorLink* Find(std::uint64_t incarnation);

  // Returns the coordinator if the session is its newest one, or null.
  CoordinatorLink* FindCurrent(std::uint64_t incarnation, std::uint64_t session);

  // Returns the coordinator if the session is one of its remembered ones.
  CoordinatorLink* FindAny(std::uint64_t incarnation, std::uint64_t session);

  void Erase(std::uint64_t incarnation) { links_.erase(incarnation); }

  // Returns the incarnations not heard since `limit`.
  std::vector<std::uint64_t> HeardBefore(TimePoint limit) const;

  // Returns other incarnations that spoke from the endpoint.
  std::vector<std::uint64_t> OthersAt(const std::string& endpoint, std::uint64_t incarnation) const;

  // Returns the incarnation heard longest ago, if the table is full.
  std::vector<std::uint64_t> Excess() const;

  std::unordered_map<std::uint64_t, CoordinatorLink>& links() { return links_; }

 private:
  std::mt19937_64 random_;
  std::unordered_map<std::uint64_t, CoordinatorLink> links_;
};

}  // namespace coltsfoottide::core
