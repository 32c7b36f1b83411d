#include "ticket_history.h"

namespace coltsfoottide::core {

bool TicketHistory::Contains(const api::Ticket& ticket) const {
  return keys_.contains({ticket.incarnation(), ticket.sequence()});
}

void TicketHistory::Add(const api::Ticket& ticket) {
  const Key key{ticket.incarnation(), ticket.sequence()};
  if (!keys_.insert(key).second) {
    return;
  }
  order_.push_back(key);
  if (order_.size() > limit_) {
    keys_.erase(order_.front());
    order_.pop_front();
  }
}

}  // namespace coltsfoottide::core
