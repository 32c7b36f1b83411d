#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <utility>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::core {

// The tickets that were admitted last, in bounded memory.
class TicketHistory {
 public:
  explicit TicketHistory(std::size_t limit) : limit_(limit) {}

  bool Contains(const api::Ticket& ticket) const;
  void Add(const api::Ticket& ticket);

 private:
  // Coordinator incarnation and sequence; incarnations are random.
  using Key = std::pair<std::uint64_t, std::uint64_t>;

  std::size_t limit_;
  std::set<Key> keys_;
  std::deque<Key> order_;
};

}  // namespace coltsfoottide::core
