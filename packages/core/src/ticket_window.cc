#include "ticket_window.h"

#include <algorithm>
#include <utility>

namespace coltsfoottide::core {

TicketWindow::TicketWindow(std::size_t capacity, Duration timeout)
    : capacity_(capacity), timeout_(timeout) {}

std::vector<std::uint64_t> TicketWindow::Issue(std::size_t count, TimePoint now) {
  std::vector<std::uint64_t> sequences;
  const std::size_t n = std::min(count, capacity_ - std::min(capacity_, entries_.size()));
  sequences.reserve(n);
  for (std::size_t index = 0; index < n; ++index) {
    entries_.emplace_hint(entries_.end(), next_, Entry{State::kIssued, now, nullptr, nullptr});
    sequences.push_back(next_++);
    ++unused_;
  }
  return sequences;
}

TicketWindow::State TicketWindow::StateOf(std::uint64_t sequence) const {
  if (sequence == 0 || sequence >= next_) {
    return State::kNeverIssued;
  }
  const auto it = entries_.find(sequence);
  return it == entries_.end() ? State::kRetired : it->second.state;
}

const api::Error* TicketWindow::Refusal(std::uint64_t sequence) const {
  const auto it = entries_.find(sequence);
  return it == entries_.end() ? nullptr : it->second.error.get();
}

const api::Ticket* TicketWindow::MovedTo(std::uint64_t sequence) const {
  const auto it = entries_.find(sequence);
  return it == entries_.end() ? nullptr : it->second.moved_to.get();
}

TicketWindow::Entry* TicketWindow::FindIssued(std::uint64_t sequence) {
  const auto it = entries_.find(sequence);
  return it != entries_.end() && it->second.state == State::kIssued ? &it->second : nullptr;
}

bool TicketWindow::Use(std::uint64_t sequence) {
  Entry* entry = FindIssued(sequence);
  if (entry == nullptr) {
    return false;
  }
  entry->state = State::kUsed;
  --unused_;
  return true;
}

bool TicketWindow::Refuse(std::uint64_t sequence, api::Error error) {
  Entry* entry = FindIssued(sequence);
  if (entry == nullptr) {
    return false;
  }
  entry->state = State::kRefused;
  entry->error = std::make_unique<api::Error>(std::move(error));
  --unused_;
  return true;
}

bool TicketWindow::Move(std::uint64_t sequence, api::Ticket to) {
  Entry* entry = FindIssued(sequence);
  if (entry == nullptr) {
    return false;
  }
  entry->state = State::kMoved;
  entry->moved_to = std::make_unique<api::Ticket>(std::move(to));
  --unused_;
  return true;
}

void TicketWindow::Retire(std::uint64_t sequence) {
  const auto it = entries_.find(sequence);
  if (it != entries_.end() && it->second.state == State::kUsed) {
    entries_.erase(it);
  }
}

void TicketWindow::Expire(TimePoint now) {
  for (auto it = entries_.lower_bound(expired_below_);
       it != entries_.end() && it->second.issued + timeout_ <= now;) {
    expired_below_ = it->first + 1;
    if (it->second.state == State::kUsed) {
      ++it;
      continue;
    }
    unused_ -= it->second.state == State::kIssued ? 1 : 0;
    it = entries_.erase(it);
  }
}

TimePoint TicketWindow::NextExpiry() const {
  const auto it = entries_.lower_bound(expired_below_);
  return it == entries_.end() ? TimePoint::max() : it->second.issued + timeout_;
}

}  // namespace coltsfoottide::core
