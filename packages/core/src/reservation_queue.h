#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::core {

// A coordinator's request to be offered a free slot.
struct Reservation {
  std::uint64_t coordinator = 0;  // incarnation
  std::uint64_t number = 0;       // unique for the coordinator
  api::JobClass job_class = api::URGENT;
  TimePoint deadline;
};

// Reservations in the order in which slots are offered: urgent before bulk,
// then the earliest deadline, then the order of arrival.
class ReservationQueue {
 public:
  explicit ReservationQueue(std::size_t max_size) : max_size_(max_size) {}

  bool Full() const { return order_.size() >= max_size_; }
  bool Contains(std::uint64_t coordinator, std::uint64_t number) const;
  void Add(const Reservation& reservation);
  void Remove(std::uint64_t coordinator, std::uint64_t number);

  // Removes and returns the first reservation. Returns nothing if there is none,
  // or if it is a bulk one and bulk tasks may not start.
  std::optional<Reservation> Take(bool bulk_allowed);

  // Removes the reservations of a coordinator.
  void RemoveAllOf(std::uint64_t coordinator);

  // Removes the reservations whose deadline has passed.
  void RemoveExpired(TimePoint now);

  // Removes and returns all reservations.
  std::vector<Reservation> TakeAll();

  std::size_t size() const { return order_.size(); }

 private:
  // Bulk, deadline, order of arrival.
  using Rank = std::tuple<bool, TimePoint, std::uint64_t>;

  std::size_t max_size_;
  std::uint64_t arrivals_ = 0;
  std::map<Rank, Reservation> order_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, Rank> index_;
};

}  // namespace coltsfoottide::core
