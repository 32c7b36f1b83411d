#include "reservation_queue.h"

#include <algorithm>

namespace coltsfoottide::core {

bool ReservationQueue::Contains(std::uint64_t coordinator, std::uint64_t number) const {
  return index_.contains({coordinator, number});
}

void ReservationQueue::Add(const Reservation& reservation) {
  const Rank rank{reservation.job_class == api::BULK, reservation.deadline, ++arrivals_};
  if (index_.try_emplace({reservation.coordinator, reservation.number}, rank).second) {
    order_.emplace(rank, reservation);
  }
}

void ReservationQueue::Remove(std::uint64_t coordinator, std::uint64_t number) {
  const auto it = index_.find({coordinator, number});
  if (it != index_.end()) {
    order_.erase(it->second);
    index_.erase(it);
  }
}

std::optional<Reservation> ReservationQueue::Take(bool bulk_allowed) {
  if (order_.empty()) {
    return std::nullopt;
  }
  const Reservation first = order_.begin()->second;
  if (first.job_class == api::BULK && !bulk_allowed) {
    return std::nullopt;
  }
  Remove(first.coordinator, first.number);
  return first;
}

void ReservationQueue::RemoveAllOf(std::uint64_t coordinator) {
  auto it = index_.lower_bound({coordinator, 0});
  while (it != index_.end() && it->first.first == coordinator) {
    order_.erase(it->second);
    it = index_.erase(it);
  }
}

void ReservationQueue::RemoveExpired(TimePoint now) {
  std::erase_if(index_, [&](const auto& item) {
    const bool expired = std::get<TimePoint>(item.second) <= now;
    if (expired) {
      order_.erase(item.second);
    }
    return expired;
  });
}

std::vector<Reservation> ReservationQueue::TakeAll() {
  std::vector<Reservation> all;
  for (const auto& [rank, reservation] : order_) {
    all.push_back(reservation);
  }
  order_.clear();
  index_.clear();
  return all;
}

}  // namespace coltsfoottide::core
