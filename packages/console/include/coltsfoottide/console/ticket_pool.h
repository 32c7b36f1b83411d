#pragma once

#include <QObject>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "coltsfoottide/console/seeded_random.h"
#include "coltsfoottide/http/client.h"
#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::console {

// Tickets fetched ahead from the entries in turn, on the current Qt thread.
// A batch comes from one coordinator, so batches are small and tickets are
// taken at random.
class TicketPool : private QObject {
 public:
  using Taker = std::function<void(api::Ticket)>;

  // Keeps about `target` tickets in stock.
  TicketPool(http::Client& client, std::vector<std::string> entries, std::string service,
             std::size_t target, std::uint64_t seed);

  // Calls `taker` with a ticket, at once if there is one in stock.
  void Take(Taker taker);

  // Discards the tickets of a coordinator that was lost.
  void Discard(const api::Ticket& lost);

  // Starts fetching, and calls `ready` once the stock is full or no entry has
  // given a ticket for a second.
  void Fill(std::function<void()> ready);

  std::size_t stock() const { return tickets_.size(); }
  // Calls that gave no ticket.
  std::uint64_t failures() const { return failures_; }

 private:
  void Refill();
  void Fetch();
  void OnReply(const http::ClientResponse& reply);
  void Serve();

  http::Client& client_;
  std::vector<std::string> entries_;
  std::string service_;
  std::size_t target_;
  RandomEngine random_;
  std::vector<api::Ticket> tickets_;
  std::deque<Taker> takers_;
  std::function<void()> ready_;
  std::size_t next_entry_ = 0;
  std::size_t fetching_ = 0;
  std::uint64_t failures_ = 0;
};

}  // namespace coltsfoottide::console
