#include "coltsfoottide/console/ticket_pool.h"

#include <QTimer>
#include <boost/random/uniform_int_distribution.hpp>
#include <chrono>
#include <utility>

#include "coltsfoottide/console/call_reply.h"

namespace coltsfoottide::console {
namespace {

constexpr std::uint32_t kBatch = 20;
constexpr std::size_t kMaxFetching = 16;
constexpr std::chrono::milliseconds kCallTime{2000};
constexpr std::chrono::milliseconds kRetryDelay{100};
constexpr std::chrono::milliseconds kLongestFill{1000};

}  // namespace

TicketPool::TicketPool(http::Client& client, std::vector<std::string> entries, std::string service,
                       std::size_t target, std::uint64_t seed)
    : client_(client),
      entries_(std::move(entries)),
      service_(std::move(service)),
      target_(target),
      random_(MakeRandom(seed, 0)) {}

void TicketPool::Take(Taker taker) {
  takers_.push_back(std::move(taker));
  Serve();
  Refill();
}

void TicketPool::Discard(const api::Ticket& lost) {
  std::erase_if(tickets_, [&](const api::Ticket& ticket) {
    return ticket.endpoint() == lost.endpoint() && ticket.incarnation() == lost.incarnation();
  });
  Refill();
}

void TicketPool::Fill(std::function<void()> ready) {
  ready_ = std::move(ready);
  Refill();
  QTimer::singleShot(kLongestFill, this, [this] {
    if (auto call = std::exchange(ready_, nullptr)) {
      call();
    }
  });
}

void TicketPool::Refill() {
  while (fetching_ < kMaxFetching &&
         tickets_.size() + fetching_ * kBatch < target_ + takers_.size()) {
    Fetch();
  }
}

void TicketPool::Fetch() {
  ++fetching_;
  api::ObtainTicketsRequest request;
  request.set_count(kBatch);
  request.set_service(service_);
  const std::string& entry = entries_[next_entry_++ % entries_.size()];
  client_.Post(entry + "/v1/Caller/ObtainTickets", {{"Content-Type", "application/x-protobuf"}},
               request.SerializeAsString(), kCallTime,
               [this](const http::ClientResponse& reply) { OnReply(reply); });
}

void TicketPool::OnReply(const http::ClientResponse& reply) {
  api::ObtainTicketsResponse response;
  const CallEnd end = ParseReply(reply, &response);
  if (end != CallEnd::kAnswered || response.tickets().empty()) {
    ++failures_;
    // Keeps its place among the fetches meanwhile, so that entries which
    // refuse are not called without pause.
    QTimer::singleShot(kRetryDelay, this, [this] {
      --fetching_;
      Refill();
    });
    return;
  }
  --fetching_;
  tickets_.insert(tickets_.end(), response.tickets().begin(), response.tickets().end());
  Serve();
  Refill();
  if (tickets_.size() >= target_) {
    if (auto call = std::exchange(ready_, nullptr)) {
      call();
    }
  }
}

void TicketPool::Serve() {
  while (!tickets_.empty() && !takers_.empty()) {
    boost::random::uniform_int_distribution<std::size_t> index(0, tickets_.size() - 1);
    std::swap(tickets_[index(random_)], tickets_.back());
    const api::Ticket ticket = std::move(tickets_.back());
    tickets_.pop_back();
    const Taker taker = std::move(takers_.front());
    takers_.pop_front();
    taker(ticket);
  }
}

}  // namespace coltsfoottide::console
