#include "load_view.h"

#include <algorithm>

#include "usable_slots.h"

namespace coltsfoottide::core {
namespace {

// A worker that did not accept work is tried again after this time without a
// message from it; its next message shows whether it accepts work.
constexpr Duration kNotAcceptingRetryDelay = std::chrono::milliseconds(500);
// After this time without a message, a worker is assumed to have emptied its
// queue and freed a slot: a refused Start costs two messages, waiting for a
// reservation elsewhere two to six.
constexpr Duration kStaleReportAge = std::chrono::milliseconds(500);
// Round trip assumed for a worker until it is measured.
constexpr Duration kDefaultRoundTrip = std::chrono::milliseconds(5);
// Bounds the recorded starts in flight to one worker.
constexpr std::size_t kMaxInFlight = 1024;

bool Fits(const api::Resources& needs, const api::Resources& offered) {
  return needs.cpu_millicores() <= offered.cpu_millicores() &&
         needs.memory_mb() <= offered.memory_mb() && needs.accelerators() <= offered.accelerators();
}

}  // namespace

void LoadView::SetCandidate(const api::WorkerInfo& info) {
  const auto it = service_of_.find(info.endpoint());
  if (it != service_of_.end() && it->second != info.service()) {
    Remove(info.endpoint());
  }
  service_of_[info.endpoint()] = info.service();
  services_[info.service()][info.endpoint()].info = info;
}

void LoadView::Remove(const std::string& endpoint) {
  const auto it = service_of_.find(endpoint);
  if (it == service_of_.end()) {
    return;
  }
  const auto service = services_.find(it->second);
  service->second.erase(endpoint);
  if (service->second.empty()) {
    services_.erase(service);
  }
  service_of_.erase(it);
}

void LoadView::SetReachable(const std::string& endpoint, bool reachable) {
  if (Entry* entry = Find(endpoint)) {
    entry->reachable = reachable;
  }
}

void LoadView::SetRoundTrip(const std::string& endpoint, Duration round_trip) {
  if (Entry* entry = Find(endpoint)) {
    entry->round_trip = round_trip;
  }
}

void LoadView::ClearLoad(const std::string& endpoint) {
  if (Entry* entry = Find(endpoint)) {
    entry->load.Clear();
    entry->in_flight.clear();
  }
}

void LoadView::Update(const std::string& endpoint, const wire::Load& load, TimePoint now) {
  Entry* entry = Find(endpoint);
  if (entry == nullptr || load.version() <= entry->load.version()) {
    return;
  }
  entry->load = load;
  entry->last_update = now;
  // The worker sent the report half a round trip ago, so it includes the starts
  // sent up to one round trip ago.
  const Duration round_trip =
      entry->round_trip > Duration::zero() ? entry->round_trip : kDefaultRoundTrip;
  while (!entry->in_flight.empty() && entry->in_flight.front() + round_trip <= now) {
    entry->in_flight.pop_front();
  }
}

void LoadView::OnStart(const std::string& endpoint, TimePoint now) {
  Entry* entry = Find(endpoint);
  if (entry != nullptr && entry->in_flight.size() < kMaxInFlight) {
    entry->in_flight.push_back(now);
  }
}

void LoadView::Block(const std::string& endpoint, TimePoint until) {
  if (Entry* entry = Find(endpoint)) {
    entry->blocked_until = std::max(entry->blocked_until, until);
  }
}

bool LoadView::QueueIsEmpty(const std::string& endpoint) {
  const Entry* entry = Find(endpoint);
  return entry != nullptr && entry->load.queued() == 0;
}

LoadView::Fit LoadView::CanRun(const std::string& service, const api::Resources& needs) const {
  const auto* workers = OfService(service);
  if (workers == nullptr) {
    return Fit::kUnknownService;
  }
  const bool possible = std::any_of(workers->begin(), workers->end(), [&needs](const auto& item) {
    return Fits(needs, item.second.info.resources());
  });
  return possible ? Fit::kPossible : Fit::kImpossibleNeeds;
}

bool LoadView::AnyFree(const std::string& service, api::JobClass job_class, TimePoint now) const {
  const auto* workers = OfService(service);
  return workers != nullptr &&
         std::any_of(workers->begin(), workers->end(), [job_class, now](const auto& item) {
           const Entry& entry = item.second;
           return Usable(entry, now) && Queued(entry, now) == 0 &&
                  (entry.load.accepting() || RetryAt(entry) <= now) &&
                  UsableSlots(FreeSlots(entry, now), entry.load.slots(), job_class) > 0;
         });
}

std::vector<WorkerView> LoadView::Eligible(const std::string& service, const api::Resources& needs,
                                           TimePoint now) const {
  std::vector<WorkerView> accepting;
  std::vector<WorkerView> retried;
  const auto* workers = OfService(service);
  if (workers == nullptr) {
    return accepting;
  }
  for (const auto& [endpoint, entry] : *workers) {
    if (!Usable(entry, now) || !Fits(needs, entry.info.resources())) {
      continue;
    }
    if (entry.load.accepting()) {
      accepting.push_back(MakeView(entry, now));
    } else if (RetryAt(entry) <= now) {
      retried.push_back(MakeView(entry, now));
    }
  }
  return accepting.empty() ? retried : accepting;
}

TimePoint LoadView::NextEligible(const std::string& service, TimePoint now) const {
  TimePoint next = TimePoint::max();
  const auto* workers = OfService(service);
  if (workers == nullptr) {
    return next;
  }
  for (const auto& [endpoint, entry] : *workers) {
    TimePoint at = entry.blocked_until;
    if (!entry.load.accepting()) {
      at = std::max(at, RetryAt(entry));
    }
    if (entry.reachable && at > now) {
      next = std::min(next, at);
    }
  }
  return next;
}

int LoadView::FreeSlots(const Entry& entry, TimePoint now) {
  const int slots = static_cast<int>(entry.load.slots());
  const int free =
      slots - static_cast<int>(entry.load.busy()) - static_cast<int>(entry.in_flight.size());
  const bool stale = entry.last_update + kStaleReportAge <= now;
  return free + (stale && free >= 0 && free <= 1 && free < slots ? 1 : 0);
}

std::uint32_t LoadView::Queued(const Entry& entry, TimePoint now) {
  return entry.last_update + kStaleReportAge <= now ? 0 : entry.load.queued();
}

bool LoadView::Usable(const Entry& entry, TimePoint now) {
  return entry.reachable && entry.blocked_until <= now && entry.info.state() != api::LEAVING &&
         entry.info.state() != api::SUSPECTED;
}

TimePoint LoadView::RetryAt(const Entry& entry) {
  return entry.last_update + kNotAcceptingRetryDelay;
}

WorkerView LoadView::MakeView(const Entry& entry, TimePoint now) {
  WorkerView view;
  view.endpoint = entry.info.endpoint();
  view.data_centre = entry.info.data_centre();
  view.rack = entry.info.rack();
  view.free_slots = FreeSlots(entry, now);
  view.slots = entry.load.slots();
  view.queued = Queued(entry, now);
  view.report_age = now - entry.last_update;
  return view;
}

LoadView::Entry* LoadView::Find(const std::string& endpoint) {
  const auto it = service_of_.find(endpoint);
  return it == service_of_.end() ? nullptr : &services_[it->second][endpoint];
}

const std::map<std::string, LoadView::Entry>* LoadView::OfService(
    const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second;
}

}  // namespace coltsfoottide::core
