#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "coltsfoottide/core/outbox.h"
#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// A small pool of tickets prefetched from several coordinators, so that callers
// seldom wait for a round trip and jobs are spread over coordinators. Tickets
// are fetched only while callers ask for them.
class TicketPool {
 public:
  // `per_coordinator` is the least number of tickets in one request.
  TicketPool(std::uint32_t per_coordinator, Outbox& outbox, std::uint64_t seed);

  // Replaces the agents that may be asked, listed with those of this entry's data
  // centre first. Tickets of agents that are no longer listed are dropped.
  void SetCoordinators(const std::vector<api::WorkerInfo>& agents);

  // Takes up to `count` tickets, in turn from different coordinators.
  std::vector<api::Ticket> Take(std::uint32_t count, TimePoint now);

  // Number of tickets that Take could return.
  std::size_t size() const { return size_; }

  // Requests tickets if the number in the pool and requested is below `wanted`
  // plus half the target size; then requests up to `wanted` plus the whole
  // target size.
  void Refill(std::uint32_t wanted, TimePoint now);

  // Adds the tickets of a reply; returns whether the reply was expected.
  bool OnReply(const wire::Envelope& envelope, TimePoint now);

  // Drops the endpoint's tickets and requests none from it for a short time.
  void OnLinkDown(const std::string& endpoint, TimePoint now);

  // Gives up requests without a reply and drops old tickets.
  void Tick(TimePoint now);

  // Returns up to `limit` listed endpoints.
  std::vector<std::string> Endpoints(std::size_t limit) const;

  // Time at which Tick is next needed, or TimePoint::max().
  TimePoint NextWake() const;

 private:
  struct StoredTicket {
    api::Ticket ticket;
    TimePoint received;
  };
  struct Source {
    std::uint64_t incarnation = 0;
    std::deque<StoredTicket> tickets;
    std::uint32_t requested = 0;
    TimePoint backoff_until = TimePoint::min();
  };
  struct Request {
    std::string endpoint;
    std::uint32_t count = 0;
    TimePoint sent;
    // Another coordinator may be asked instead; a late reply is still accepted.
    bool timed_out = false;
  };

  // Returns the endpoint to ask next, or an empty string if none may be asked now.
  std::string ChooseSource(TimePoint now);
  void RequestTickets(const std::string& endpoint, std::uint32_t count, TimePoint now);
  void DropTickets(const std::string& endpoint, Source& source);
  void DropExpired(TimePoint now);
  // Stops counting the request's tickets as requested.
  void EndRequest(Request& request);

  std::uint32_t per_coordinator_;
  Outbox& outbox_;
  std::mt19937_64 random_;
  std::uint64_t next_request_;
  // Listed endpoints in random order; the first `preferred_count_` are asked
  // first.
  std::vector<std::string> endpoints_;
  std::size_t preferred_count_ = 0;
  std::size_t ask_cursor_ = 0;
  // Endpoints with tickets, taken from in turn.
  std::vector<std::string> pooled_endpoints_;
  std::size_t take_cursor_ = 0;
  std::unordered_map<std::string, Source> sources_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::size_t size_ = 0;
  std::uint32_t requested_ = 0;
  TimePoint last_demand_ = TimePoint::min();
  // Set while callers wait and no coordinator may be asked.
  TimePoint retry_at_ = TimePoint::max();
  TimePoint next_age_check_ = TimePoint::min();
};

}  // namespace coltsfoottide::core
