#include "ticket_stock.h"

#include <algorithm>
#include <utility>

namespace coltsfoottide::core {
namespace {

// Coordinators that tickets are kept of, for spread.
constexpr std::size_t kSpread = 8;
// With fewer agents than this in the own data centre, others are asked too.
constexpr std::size_t kMinPreferred = 3;
// A reply takes a round trip of a few milliseconds; past this time another
// coordinator is asked.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(200);
constexpr Duration kAvoidTime = std::chrono::seconds(1);
// Coordinators retire unused tickets after 10 minutes; a caller must have
// most of that time left.
constexpr Duration kMaxAge = std::chrono::minutes(1);
constexpr Duration kAgeCheckInterval = std::chrono::seconds(1);
// Without demand for this time, used tickets are not replaced.
constexpr Duration kDemandTime = std::chrono::seconds(10);
// Agents compared for each request.
constexpr std::size_t kCompared = 16;

}  // namespace

TicketStock::TicketStock(std::uint32_t per_coordinator, Outbox& outbox, std::uint64_t seed)
    : per_coordinator_(std::max<std::uint32_t>(per_coordinator, 1)),
      outbox_(outbox),
      random_(seed),
      next_request_(random_()) {}

void TicketStock::SetCoordinators(const std::vector<api::WorkerInfo>& agents) {
  std::unordered_map<std::string, Source> kept;
  order_.clear();
  preferred_ = 0;
  for (const api::WorkerInfo& agent : agents) {
    order_.push_back(agent.endpoint());
    preferred_ += agent.data_centre() == agents.front().data_centre() ? 1 : 0;
    const auto it = sources_.find(agent.endpoint());
    if (it != sources_.end() && it->second.incarnation == agent.incarnation()) {
      kept.insert(sources_.extract(it));
    } else {
      kept[agent.endpoint()].incarnation = agent.incarnation();
    }
  }
  for (auto& [endpoint, source] : sources_) {
    Drop(endpoint, source);
  }
  sources_ = std::move(kept);
  if (preferred_ < kMinPreferred) {
    preferred_ = order_.size();
  }
  const auto middle = order_.begin() + static_cast<std::ptrdiff_t>(preferred_);
  std::shuffle(order_.begin(), middle, random_);
  std::shuffle(middle, order_.end(), random_);
}

std::vector<api::Ticket> TicketStock::Take(std::uint32_t count, TimePoint now) {
  last_demand_ = now;
  std::vector<api::Ticket> taken;
  while (taken.size() < count && !stocked_.empty()) {
    const std::string endpoint = stocked_[take_cursor_++ % stocked_.size()];
    Source& source = sources_[endpoint];
    taken.push_back(std::move(source.tickets.front().ticket));
    source.tickets.pop_front();
    --size_;
    if (source.tickets.empty()) {
      std::erase(stocked_, endpoint);
    }
  }
  return taken;
}

void TicketStock::Refill(std::uint32_t wanted, TimePoint now) {
  if (wanted > 0) {
    last_demand_ = now;
  }
  const bool demand = last_demand_ != TimePoint::min() && now - last_demand_ <= kDemandTime;
  const std::size_t spread = std::min(kSpread, preferred_);
  const std::size_t keep = demand ? spread * per_coordinator_ : 0;
  // Half the stock is the low mark; filling up to the full stock then keeps
  // requests large.
  if (size_ + requested_ >= wanted + keep / 2) {
    return;
  }
  while (size_ + requested_ < wanted + keep) {
    const std::string endpoint = ChooseSource(now);
    if (endpoint.empty()) {
      return;
    }
    const auto share = static_cast<std::uint32_t>(wanted / std::max<std::size_t>(spread, 1));
    Ask(endpoint, std::max(per_coordinator_, share), now);
  }
}

std::string TicketStock::ChooseSource(TimePoint now) {
  const auto best_of = [&](std::size_t begin, std::size_t end) {
    std::string best;
    std::size_t least = 0;
    const std::size_t n = end - begin;
    for (std::size_t i = 0; i < std::min(n, kCompared); ++i) {
      const std::string& endpoint = order_[begin + (cursor_++ % n)];
      const Source& source = sources_[endpoint];
      const std::size_t stock = source.tickets.size() + source.requested;
      if (now >= source.avoid_until && (best.empty() || stock < least)) {
        best = endpoint;
        least = stock;
      }
    }
    return best;
  };
  std::string chosen = best_of(0, preferred_);
  return chosen.empty() ? best_of(preferred_, order_.size()) : chosen;
}

void TicketStock::Ask(const std::string& endpoint, std::uint32_t count, TimePoint now) {
  const std::uint64_t request = next_request_++;
  requests_[request] = {endpoint, count, now};
  requested_ += count;
  sources_[endpoint].requested += count;
  wire::Envelope envelope;
  envelope.mutable_ticket_request()->set_request(request);
  envelope.mutable_ticket_request()->set_count(count);
  outbox_.Send(endpoint, std::move(envelope));
}

bool TicketStock::OnReply(const wire::Envelope& envelope, TimePoint now) {
  const auto node = requests_.extract(envelope.ticket_reply().request());
  if (node.empty()) {
    return false;
  }
  EndRequest(node.mapped());
  const auto it = sources_.find(node.mapped().endpoint);
  if (it == sources_.end()) {
    return true;
  }
  Source& source = it->second;
  for (const api::Ticket& ticket : envelope.ticket_reply().tickets()) {
    if (ticket.endpoint() == it->first && ticket.incarnation() == source.incarnation) {
      if (source.tickets.empty()) {
        stocked_.push_back(it->first);
      }
      source.tickets.push_back({ticket, now});
      ++size_;
    }
  }
  if (envelope.ticket_reply().has_error() || source.tickets.empty()) {
    source.avoid_until = now + kAvoidTime;
  }
  return true;
}

void TicketStock::OnLinkDown(const std::string& endpoint, TimePoint now) {
  const auto it = sources_.find(endpoint);
  if (it == sources_.end()) {
    return;
  }
  Drop(endpoint, it->second);
  it->second.avoid_until = now + kAvoidTime;
  std::erase_if(requests_, [&](const auto& item) {
    const bool lost = item.second.endpoint == endpoint;
    if (lost) {
      EndRequest(item.second);
    }
    return lost;
  });
}

void TicketStock::Tick(TimePoint now) {
  std::erase_if(requests_, [&](const auto& item) {
    const bool late = now >= item.second.sent + kReplyTimeout;
    if (late) {
      EndRequest(item.second);
      const auto it = sources_.find(item.second.endpoint);
      if (it != sources_.end()) {
        it->second.avoid_until = now + kAvoidTime;
      }
    }
    return late;
  });
  DropOld(now);
}

void TicketStock::DropOld(TimePoint now) {
  if (now < next_age_check_) {
    return;
  }
  next_age_check_ = now + kAgeCheckInterval;
  for (const std::string& endpoint : std::vector<std::string>(stocked_)) {
    Source& source = sources_[endpoint];
    while (!source.tickets.empty() && source.tickets.front().received + kMaxAge <= now) {
      source.tickets.pop_front();
      --size_;
    }
    if (source.tickets.empty()) {
      std::erase(stocked_, endpoint);
    }
  }
}

std::vector<std::string> TicketStock::Endpoints(std::size_t limit) const {
  const auto end = order_.begin() + static_cast<std::ptrdiff_t>(std::min(limit, order_.size()));
  return {order_.begin(), end};
}

TimePoint TicketStock::NextWake() const {
  TimePoint wake = TimePoint::max();
  for (const auto& [number, request] : requests_) {
    wake = std::min(wake, request.sent + kReplyTimeout);
  }
  return wake;
}

void TicketStock::Drop(const std::string& endpoint, Source& source) {
  size_ -= source.tickets.size();
  source.tickets.clear();
  std::erase(stocked_, endpoint);
}

void TicketStock::EndRequest(const Request& request) {
  requested_ -= request.count;
  const auto it = sources_.find(request.endpoint);
  if (it != sources_.end()) {
    it->second.requested -= std::min(request.count, it->second.requested);
  }
}

}  // namespace coltsfoottide::core
