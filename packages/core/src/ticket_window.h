#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::core {

// The tickets that a coordinator has issued. A sequence number admits at most
// one job, and is never issued twice.
class TicketWindow {
 public:
  enum class State {
    kNeverIssued,
    kIssued,
    kUsed,
    // Refused or cancelled before its job was accepted.
    kRefused,
    kMoved,
    kRetired,
  };

  // Holds at most `capacity` tickets that are not retired. A ticket that is
  // not used within `timeout` is retired.
  TicketWindow(std::size_t capacity, Duration timeout);

  // Issues up to `count` sequence numbers, fewer when the window is full.
  std::vector<std::uint64_t> Issue(std::size_t count, TimePoint now);

  State StateOf(std::uint64_t sequence) const;
  // The error of a refused ticket, or nullptr.
  const api::Error* Refusal(std::uint64_t sequence) const;
  // The successor's ticket of a moved ticket, or nullptr.
  const api::Ticket* MovedTo(std::uint64_t sequence) const;

  // Each returns false and changes nothing unless the ticket is in state
  // kIssued.
  bool Use(std::uint64_t sequence);
  bool Refuse(std::uint64_t sequence, api::Error error);
  bool Move(std::uint64_t sequence, api::Ticket to);
  // Retires a used ticket; a later submission of it is refused.
  void Retire(std::uint64_t sequence);

  // Retires the tickets whose timeout has passed, except used ones.
  void Expire(TimePoint now);
  // Time of the next Expire, or TimePoint::max().
  TimePoint NextExpiry() const;

  std::size_t size() const { return records_.size(); }
  // Number of tickets that are issued and neither used, refused nor moved.
  std::size_t unused() const { return unused_; }

 private:
  struct TicketRecord {
    State state = State::kIssued;
    TimePoint issued;
    std::unique_ptr<api::Error> error;
    std::unique_ptr<api::Ticket> moved_to;
  };
  TicketRecord* FindIssued(std::uint64_t sequence);

  std::size_t capacity_;
  Duration timeout_;
  std::uint64_t next_sequence_ = 1;
  // Sequences below are used or retired; keeps Expire from visiting the used
  // tickets again.
  std::uint64_t expired_below_ = 1;
  std::size_t unused_ = 0;
  std::map<std::uint64_t, TicketRecord> records_;
};

}  // namespace coltsfoottide::core
