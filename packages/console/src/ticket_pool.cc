#include "coltsfoottide/console/ticket_pool.h"

#include <QTimer>
#include <boost/random/uniform_int_distribution.hpp>
#include <chrono>
#include <utility>

#include "coltsfoottide/console/call_reply.h"

namespace coltsfoottide::console {
namespace {

constexpr std::uint32_t kBatchSize = 20;
constexpr std::size_t kMaxFetchesInFlight = 16;
constexpr std::chrono::milliseconds kCallTimeout{2000};
constexpr std::chrono::milliseconds kRetryDelay{100};
constexpr std::chrono::milliseconds kMaxFillTime{1000};

}  // namespace

TicketPool::TicketPool(http::Client& client, std::vector<std::string> entries, std::string service,
                       std::size_t target, std::uint64_t seed)
    : client_(client),
      entries_(std::move(entries)),
      service_(std::move(service)),
      target_stock_(target),
      random_(MakeRandom(seed, 0)) {}

void TicketPool::Take(TicketCallback callback) {
  waiting_callbacks_.push_back(std::move(callback));
  ServeWaiting();
  Refill();
}

void TicketPool::Discard(const api::Ticket& ticket) {
  std::erase_if(tickets_, [&](const api::Ticket& it) {
    return it.endpoint() == ticket.endpoint() && it.incarnation() == ticket.incarnation();
  });
  Refill();
}

void TicketPool::Fill(std::function<void()> ready) {
  ready_ = std::move(ready);
  Refill();
  QTimer::singleShot(kMaxFillTime, this, [this] {
    if (auto call = std::exchange(ready_, nullptr)) {
      call();
    }
  });
}

void TicketPool::Refill() {
  while (fetches_in_flight_ < kMaxFetchesInFlight &&
         tickets_.size() + fetches_in_flight_ * kBatchSize <
             target_stock_ + waiting_callbacks_.size()) {
    Fetch();
  }
}

void TicketPool::Fetch() {
  ++fetches_in_flight_;
  api::ObtainTicketsRequest request;
  request.set_count(kBatchSize);
  request.set_service(service_);
  const std::string& entry = entries_[next_entry_++ % entries_.size()];
  client_.Post(entry + "/v1/Caller/ObtainTickets", {{"Content-Type", "application/x-protobuf"}},
               request.SerializeAsString(), kCallTimeout,
               [this](const http::ClientResponse& reply) { OnReply(reply); });
}

void TicketPool::OnReply(const http::ClientResponse& reply) {
  api::ObtainTicketsResponse response;
  const CallOutcome outcome = ParseReply(reply, &response);
  if (outcome != CallOutcome::kAnswered || response.tickets().empty()) {
    ++failures_;
    // The fetch counts as in flight during the delay, so that entries which
    // refuse are not called in a tight loop.
    QTimer::singleShot(kRetryDelay, this, [this] {
      --fetches_in_flight_;
      Refill();
    });
    return;
  }
  --fetches_in_flight_;
  tickets_.insert(tickets_.end(), response.tickets().begin(), response.tickets().end());
  ServeWaiting();
  Refill();
  if (tickets_.size() >= target_stock_) {
    if (auto call = std::exchange(ready_, nullptr)) {
      call();
    }
  }
}

void TicketPool::ServeWaiting() {
  while (!tickets_.empty() && !waiting_callbacks_.empty()) {
    boost::random::uniform_int_distribution<std::size_t> index(0, tickets_.size() - 1);
    std::swap(tickets_[index(random_)], tickets_.back());
    const api::Ticket ticket = std::move(tickets_.back());
    tickets_.pop_back();
    const TicketCallback callback = std::move(waiting_callbacks_.front());
    waiting_callbacks_.pop_front();
    callback(ticket);
  }
}

}  // namespace coltsfoottide::console
