#include "job_list_collector.h"

#include <algorithm>

namespace coltsfoottide::core {
namespace {

constexpr Duration kListTimeout = std::chrono::milliseconds(500);
constexpr std::uint32_t kDefaultLimit = 100;

}  // namespace

void JobListCollector::Begin(std::uint64_t call, const std::vector<std::string>& endpoints,
                             std::uint32_t limit, TimePoint now) {
  Listing& listing = listings_[call];
  listing.limit = limit == 0 ? kDefaultLimit : limit;
  listing.outstanding = endpoints.size();
  listing.deadline = now + kListTimeout;
  for (const std::string& endpoint : endpoints) {
    const std::uint64_t request = next_request_++;
    requests_[request] = call;
    wire::Envelope envelope;
    envelope.mutable_list_jobs()->set_request(request);
    envelope.mutable_list_jobs()->set_limit(listing.limit);
    outbox_.Send(endpoint, std::move(envelope));
  }
}

void JobListCollector::OnList(const wire::JobList& list) {
  const auto node = requests_.extract(list.request());
  if (node.empty()) {
    return;
  }
  Listing& listing = listings_[node.mapped()];
  --listing.outstanding;
  for (const api::JobInfo& job : list.jobs()) {
    if (static_cast<std::uint32_t>(listing.response.jobs_size()) < listing.limit) {
      *listing.response.add_jobs() = job;
    }
  }
}

void JobListCollector::Abandon(std::uint64_t call) {
  if (listings_.erase(call) > 0) {
    std::erase_if(requests_, [call](const auto& item) { return item.second == call; });
  }
}

std::vector<JobListCollector::Response> JobListCollector::TakeDue(TimePoint now) {
  std::vector<Response> due;
  for (const auto& [call, listing] : listings_) {
    if (listing.outstanding == 0 || now >= listing.deadline) {
      due.emplace_back(call, listing.response);
    }
  }
  for (const auto& [call, response] : due) {
    Abandon(call);
  }
  return due;
}

TimePoint JobListCollector::NextWake() const {
  TimePoint wake = TimePoint::max();
  for (const auto& [call, listing] : listings_) {
    wake = std::min(wake, listing.outstanding == 0 ? TimePoint::min() : listing.deadline);
  }
  return wake;
}

}  // namespace coltsfoottide::core
