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

// A small stock of tickets fetched ahead from several coordinators, so that
// callers seldom wait for a round trip and jobs are spread. Tickets are
// fetched only while callers ask for them.
class TicketStock {
 public:
  // `per_coordinator` is the number of tickets asked for at once.
  TicketStock(std::uint32_t per_coordinator, Outbox& outbox, std::uint64_t seed);

  // Replaces the agents that may be asked, those of the own data centre
  // first. Tickets of agents that are no longer listed are dropped.
  void SetCoordinators(const std::vector<api::WorkerInfo>& agents);

  // Takes up to `count` tickets, in turn from different coordinators.
  std::vector<api::Ticket> Take(std::uint32_t count, TimePoint now);

  // Number of tickets that Take could return.
  std::size_t size() const { return size_; }

  // Asks for tickets when fewer than `wanted` and the stock to keep are there
  // or on their way.
  void Refill(std::uint32_t wanted, TimePoint now);

  // Takes in tickets; returns whether the reply was expected.
  bool OnReply(const wire::Envelope& envelope, TimePoint now);

  // Drops the endpoint's tickets and asks it for none for a short time.
  void OnLinkDown(const std::string& endpoint, TimePoint now);

  // Gives up requests without a reply and drops old tickets.
  void Tick(TimePoint now);

  // Returns up to `limit` listed endpoints.
  std::vector<std::string> Endpoints(std::size_t limit) const;

  // Time at which Tick is next needed, or TimePoint::max().
  TimePoint NextWake() const;

 private:
  struct Stocked {
    api::Ticket ticket;
    TimePoint received;
  };
  struct Source {
    std::uint64_t incarnation = 0;
    std::deque<Stocked> tickets;
    std::uint32_t requested = 0;
    TimePoint avoid_until = TimePoint::min();
  };
  struct Request {
    std::string endpoint;
    std::uint32_t count = 0;
    TimePoint sent;
  };

  std::string ChooseSource(TimePoint now);
  void Ask(const std::string& endpoint, std::uint32_t count, TimePoint now);
  void Drop(const std::string& endpoint, Source& source);
  void DropOld(TimePoint now);
  void EndRequest(const Request& request);

  std::uint32_t per_coordinator_;
  Outbox& outbox_;
  std::mt19937_64 random_;
  std::uint64_t next_request_;
  // In random order; those to ask first are before `preferred_`.
  std::vector<std::string> order_;
  std::size_t preferred_ = 0;
  std::size_t cursor_ = 0;
  // Endpoints with tickets, taken from in turn.
  std::vector<std::string> stocked_;
  std::size_t take_cursor_ = 0;
  std::unordered_map<std::string, Source> sources_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::size_t size_ = 0;
  std::uint32_t requested_ = 0;
  TimePoint last_demand_ = TimePoint::min();
  TimePoint next_age_check_ = TimePoint::min();
};

}  // namespace coltsfoottide::core
