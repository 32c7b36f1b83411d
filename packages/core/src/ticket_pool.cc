#include "ticket_pool.h"

#include <algorithm>
#include <utility>

namespace coltsfoottide::core {
namespace {

// Number of coordinators to hold tickets from, so that jobs are spread.
constexpr std::size_t kTargetSources = 8;
// With fewer agents than this in this entry's data centre, others are asked too.
constexpr std::size_t kMinPreferred = 3;
// A reply takes a round trip of a few milliseconds; past this time another
// coordinator is asked.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(200);
// Time for which a coordinator that gave no tickets is not asked. Short compared
// with the 1 s that callers wait, so that a coordinator that was paused, or
// whose connection broke, still serves them.
constexpr Duration kSourceBackoff = std::chrono::milliseconds(250);
// Time to the next attempt while callers wait and no coordinator may be asked.
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
// Time after which a reply is no longer expected.
constexpr Duration kRequestExpiry = std::chrono::seconds(10);
// Coordinators retire unused tickets after 10 minutes; a caller must have
// most of that time left.
constexpr Duration kMaxAge = std::chrono::minutes(1);
constexpr Duration kAgeCheckInterval = std::chrono::seconds(1);
// Without demand for this time, used tickets are not replaced.
constexpr Duration kDemandTimeout = std::chrono::seconds(10);
// Agents compared to choose the one to ask.
constexpr std::size_t kMaxCompared = 16;

}  // namespace

TicketPool::TicketPool(std::uint32_t per_coordinator, Outbox& outbox, std::uint64_t seed)
    : per_coordinator_(std::max<std::uint32_t>(per_coordinator, 1)),
      outbox_(outbox),
      random_(seed),
      next_request_(random_()) {}

void TicketPool::SetCoordinators(const std::vector<api::WorkerInfo>& agents) {
  std::unordered_map<std::string, Source> kept;
  endpoints_.clear();
  preferred_count_ = 0;
  for (const api::WorkerInfo& agent : agents) {
    endpoints_.push_back(agent.endpoint());
    preferred_count_ += agent.data_centre() == agents.front().data_centre() ? 1 : 0;
    const auto it = sources_.find(agent.endpoint());
    if (it != sources_.end() && it->second.incarnation == agent.incarnation()) {
      kept.insert(sources_.extract(it));
    } else {
      kept[agent.endpoint()].incarnation = agent.incarnation();
    }
  }
  for (auto& [endpoint, source] : sources_) {
    DropTickets(endpoint, source);
  }
  sources_ = std::move(kept);
  if (preferred_count_ < kMinPreferred) {
    preferred_count_ = endpoints_.size();
  }
  const auto middle = endpoints_.begin() + static_cast<std::ptrdiff_t>(preferred_count_);
  std::shuffle(endpoints_.begin(), middle, random_);
  std::shuffle(middle, endpoints_.end(), random_);
}

std::vector<api::Ticket> TicketPool::Take(std::uint32_t count, TimePoint now) {
  last_demand_ = now;
  std::vector<api::Ticket> taken;
  while (taken.size() < count && !pooled_endpoints_.empty()) {
    const std::string endpoint = pooled_endpoints_[take_cursor_++ % pooled_endpoints_.size()];
    Source& source = sources_[endpoint];
    taken.push_back(std::move(source.tickets.front().ticket));
    source.tickets.pop_front();
    --size_;
    if (source.tickets.empty()) {
      std::erase(pooled_endpoints_, endpoint);
    }
  }
  return taken;
}

void TicketPool::Refill(std::uint32_t wanted, TimePoint now) {
  if (wanted > 0) {
    last_demand_ = now;
  }
  const bool has_demand = last_demand_ != TimePoint::min() && now - last_demand_ <= kDemandTimeout;
  const std::size_t source_count = std::min(kTargetSources, preferred_count_);
  const std::size_t target_size = has_demand ? source_count * per_coordinator_ : 0;
  // Half the pool is the low-water mark; filling up to the full pool then keeps
  // requests large.
  retry_at_ = TimePoint::max();
  if (size_ + requested_ >= wanted + target_size / 2) {
    return;
  }
  const std::size_t missing = wanted + target_size - size_ - requested_;
  const std::size_t sources = std::max<std::size_t>(source_count, 1);
  const auto per_source = static_cast<std::uint32_t>((missing + sources - 1) / sources);
  while (size_ + requested_ < wanted + target_size) {
    const std::string endpoint = ChooseSource(now);
    if (endpoint.empty()) {
      retry_at_ = wanted > size_ + requested_ ? now + kRetryInterval : TimePoint::max();
      return;
    }
    RequestTickets(endpoint, std::max(per_coordinator_, per_source), now);
  }
}

std::string TicketPool::ChooseSource(TimePoint now) {
  const auto best_of = [&](std::size_t begin, std::size_t end) {
    std::string best;
    std::size_t least = 0;
    const std::size_t n = end - begin;
    for (std::size_t i = 0; i < std::min(n, kMaxCompared); ++i) {
      const std::string& endpoint = endpoints_[begin + (ask_cursor_++ % n)];
      const Source& source = sources_[endpoint];
      const std::size_t pooled = source.tickets.size() + source.requested;
      if (now >= source.backoff_until && (best.empty() || pooled < least)) {
        best = endpoint;
        least = pooled;
      }
    }
    return best;
  };
  std::string chosen = best_of(0, preferred_count_);
  return chosen.empty() ? best_of(preferred_count_, endpoints_.size()) : chosen;
}

void TicketPool::RequestTickets(const std::string& endpoint, std::uint32_t count, TimePoint now) {
  const std::uint64_t request = next_request_++;
  requests_[request] = {endpoint, count, now, false};
  requested_ += count;
  sources_[endpoint].requested += count;
  wire::Envelope envelope;
  envelope.mutable_ticket_request()->set_request(request);
  envelope.mutable_ticket_request()->set_count(count);
  outbox_.Send(endpoint, std::move(envelope));
}

bool TicketPool::OnReply(const wire::Envelope& envelope, TimePoint now) {
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
        pooled_endpoints_.push_back(it->first);
      }
      source.tickets.push_back({ticket, now});
      ++size_;
    }
  }
  if (envelope.ticket_reply().has_error() || source.tickets.empty()) {
    source.backoff_until = now + kSourceBackoff;
  }
  return true;
}

void TicketPool::OnLinkDown(const std::string& endpoint, TimePoint now) {
  const auto it = sources_.find(endpoint);
  if (it == sources_.end()) {
    return;
  }
  DropTickets(endpoint, it->second);
  it->second.backoff_until = now + kSourceBackoff;
  for (auto& [number, request] : requests_) {
    if (request.endpoint == endpoint) {
      EndRequest(request);
    }
  }
  std::erase_if(requests_, [&](const auto& item) { return item.second.endpoint == endpoint; });
}

void TicketPool::Tick(TimePoint now) {
  for (auto& [number, request] : requests_) {
    if (request.timed_out || now < request.sent + kReplyTimeout) {
      continue;
    }
    EndRequest(request);
    const auto it = sources_.find(request.endpoint);
    if (it != sources_.end()) {
      it->second.backoff_until = now + kSourceBackoff;
    }
  }
  std::erase_if(requests_,
                [&](const auto& item) { return now >= item.second.sent + kRequestExpiry; });
  DropExpired(now);
}

void TicketPool::DropExpired(TimePoint now) {
  if (now < next_age_check_) {
    return;
  }
  next_age_check_ = now + kAgeCheckInterval;
  for (const std::string& endpoint : std::vector<std::string>(pooled_endpoints_)) {
    Source& source = sources_[endpoint];
    while (!source.tickets.empty() && source.tickets.front().received + kMaxAge <= now) {
      source.tickets.pop_front();
      --size_;
    }
    if (source.tickets.empty()) {
      std::erase(pooled_endpoints_, endpoint);
    }
  }
}

std::vector<std::string> TicketPool::Endpoints(std::size_t limit) const {
  const auto end =
      endpoints_.begin() + static_cast<std::ptrdiff_t>(std::min(limit, endpoints_.size()));
  return {endpoints_.begin(), end};
}

TimePoint TicketPool::NextWake() const {
  TimePoint wake = retry_at_;
  for (const auto& [number, request] : requests_) {
    wake = std::min(wake, request.sent + (request.timed_out ? kRequestExpiry : kReplyTimeout));
  }
  return wake;
}

void TicketPool::DropTickets(const std::string& endpoint, Source& source) {
  size_ -= source.tickets.size();
  source.tickets.clear();
  std::erase(pooled_endpoints_, endpoint);
}

void TicketPool::EndRequest(Request& request) {
  if (std::exchange(request.timed_out, true)) {
    return;
  }
  requested_ -= request.count;
  const auto it = sources_.find(request.endpoint);
  if (it != sources_.end()) {
    it->second.requested -= std::min(request.count, it->second.requested);
  }
}

}  // namespace coltsfoottide::core
