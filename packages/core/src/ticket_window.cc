#include "ticket_window.h"

#include <algorithm>
#include <utility>

namespace coltsfoottide::core {

TicketWindow::TicketWindow(std::size_t capacity, Duration timeout)
    : capacity_(capacity), timeout_(timeout) {}

std::vector<std::uint64_t> TicketWindow::Issue(std::size_t count, TimePoint now) {
  std::vector<std::uint64_t> sequences;
  const std::size_t n = std::min(count, capacity_ - std::min(capacity_, records_.size()));
  sequences.reserve(n);
  for (std::size_t index = 0; index < n; ++index) {
    records_.emplace_hint(records_.end(), next_sequence_,
                          TicketRecord{State::kIssued, now, nullptr, nullptr});
    sequences.push_back(next_sequence_++);
    ++unused_;
  }
  return sequences;
}

TicketWindow::State TicketWindow::StateOf(std::uint64_t sequence) const {
  if (sequence == 0 || sequence >= next_sequence_) {
    return State::kNeverIssued;
  }
  const auto it = records_.find(sequence);
  return it == records_.end() ? State::kRetired : it->second.state;
}

const api::Error* TicketWindow::Refusal(std::uint64_t sequence) const {
  const auto it = records_.find(sequence);
  return it == records_.end() ? nullptr : it->second.error.get();
}

const api::Ticket* TicketWindow::MovedTo(std::uint64_t sequence) const {
  const auto it = records_.find(sequence);
  return it == records_.end() ? nullptr : it->second.moved_to.get();
}

TicketWindow::TicketRecord* TicketWindow::FindIssued(std::uint64_t sequence) {
  const auto it = records_.find(sequence);
  return it != records_.end() && it->second.state == State::kIssued ? &it->second : nullptr;
}

bool TicketWindow::Use(std::uint64_t sequence) {
  TicketRecord* record = FindIssued(sequence);
  if (record == nullptr) {
    return false;
  }
  record->state = State::kUsed;
  --unused_;
  return true;
}

bool TicketWindow::Refuse(std::uint64_t sequence, api::Error error) {
  TicketRecord* record = FindIssued(sequence);
  if (record == nullptr) {
    return false;
  }
  record->state = State::kRefused;
  record->error = std::make_unique<api::Error>(std::move(error));
  --unused_;
  return true;
}

bool TicketWindow::Move(std::uint64_t sequence, api::Ticket to) {
  TicketRecord* record = FindIssued(sequence);
  if (record == nullptr) {
    return false;
  }
  record->state = State::kMoved;
  record->moved_to = std::make_unique<api::Ticket>(std::move(to));
  --unused_;
  return true;
}

void TicketWindow::Retire(std::uint64_t sequence) {
  const auto it = records_.find(sequence);
  if (it != records_.end() && it->second.state == State::kUsed) {
    records_.erase(it);
  }
}

void TicketWindow::Expire(TimePoint now) {
  for (auto it = records_.lower_bound(expired_below_);
       it != records_.end() && it->second.issued + timeout_ <= now;) {
    expired_below_ = it->first + 1;
    if (it->second.state == State::kUsed) {
      ++it;
      continue;
    }
    unused_ -= it->second.state == State::kIssued ? 1 : 0;
    it = records_.erase(it);
  }
}

TimePoint TicketWindow::NextExpiry() const {
  const auto it = records_.lower_bound(expired_below_);
  return it == records_.end() ? TimePoint::max() : it->second.issued + timeout_;
}

}  // namespace coltsfoottide::core
