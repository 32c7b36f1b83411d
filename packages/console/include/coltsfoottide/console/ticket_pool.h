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

// Prefetches tickets from the entries round robin, on the current Qt thread.
// All tickets of a batch come from one coordinator. Small batches and random
// selection spread the jobs over the coordinators.
class TicketPool : private QObject {
 public:
  using TicketCallback = std::function<void(api::Ticket)>;

  // Keeps a stock of about `target` tickets.
  TicketPool(http::Client& client, std::vector<std::string> entries, std::string service,
             std::size_t target, std::uint64_t seed);

  // Calls `callback` with a ticket: immediately if one is in stock, otherwise when
  // one is fetched.
  void Take(TicketCallback callback);

  // Discards all tickets of the coordinator that issued `ticket`; called when that
  // coordinator is lost.
  void Discard(const api::Ticket& ticket);

  // Starts fetching; calls `ready` when the stock is full, and after 1 s at the
  // latest.
  void Fill(std::function<void()> ready);

  std::size_t stock() const { return tickets_.size(); }
  // Number of fetches that returned no ticket.
  std::uint64_t failures() const { return failures_; }

 private:
  void Refill();
  void Fetch();
  void OnReply(const http::ClientResponse& reply);
  // Hands tickets in stock to the callers that wait for one.
  void ServeWaiting();

  http::Client& client_;
  std::vector<std::string> entries_;
  std::string service_;
  std::size_t target_stock_;
  RandomEngine random_;
  std::vector<api::Ticket> tickets_;
  std::deque<TicketCallback> waiting_callbacks_;
  std::function<void()> ready_;
  std::size_t next_entry_ = 0;
  std::size_t fetches_in_flight_ = 0;
  std::uint64_t failures_ = 0;
};

}  // namespace coltsfoottide::console
