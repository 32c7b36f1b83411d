#include "coltsfoottide/core/directory.h"

#include <algorithm>
#include <utility>

#include "candidate_ring.h"
#include "coltsfoottide/core/stable_hash.h"
#include "outlier_detector.h"

namespace coltsfoottide::core {
namespace {

bool SameResources(const api::Resources& lhs, const api::Resources& rhs) {
  return lhs.cpu_millicores() == rhs.cpu_millicores() && lhs.memory_mb() == rhs.memory_mb() &&
         lhs.accelerators() == rhs.accelerators();
}

bool Satisfies(const api::Resources& offer, const api::Resources& needs) {
  return offer.cpu_millicores() >= needs.cpu_millicores() &&
         offer.memory_mb() >= needs.memory_mb() && offer.accelerators() >= needs.accelerators();
}

// Whether a candidate list made with `lhs` is out of date when the worker has
// changed to `rhs`.
bool InvalidatesCandidates(const api::WorkerInfo& lhs, const api::WorkerInfo& rhs) {
  return lhs.incarnation() != rhs.incarnation() || lhs.data_centre() != rhs.data_centre() ||
         lhs.rack() != rhs.rack() || lhs.service() != rhs.service() || lhs.state() != rhs.state() ||
         (lhs.slots() == 0) != (rhs.slots() == 0) ||
         !SameResources(lhs.resources(), rhs.resources());
}

}  // namespace

Directory::Directory(Duration suspect_after, Duration remove_after)
    : suspect_after_(suspect_after),
      remove_after_(remove_after),
      outlier_detector_(std::make_unique<OutlierDetector>()) {}

Directory::~Directory() = default;

Directory::Member* Directory::Upsert(const api::WorkerInfo& info, bool renewed_here,
                                     TimePoint now) {
  auto [it, added] = members_.try_emplace(info.endpoint());
  Member& member = it->second;
  if (!added && member.info.incarnation() != info.incarnation()) {
    member = Member();
  }
  if (added || InvalidatesCandidates(member.info, info) || member.suspected) {
    ++version_;
  }
  member.info = info;
  member.last_heard = now;
  member.renewed_here = renewed_here;
  member.suspected = false;
  return &member;
}

void Directory::OnRenew(const wire::Renew& renew, TimePoint now) {
  Member* member = Upsert(renew.info(), true, now);
  member->info.set_config_offset(renew.config_next_offset());
  member->recent_starts = renew.recent_starts();
  member->recent_failures = renew.recent_failures();
}

void Directory::OnSample(const std::vector<api::WorkerInfo>& workers, TimePoint now) {
  for (const auto& info : workers) {
    const auto it = members_.find(info.endpoint());
    if (it == members_.end() || !it->second.renewed_here ||
        now - it->second.last_heard >= suspect_after_) {
      Upsert(info, false, now);
    }
  }
}

void Directory::OnLinkDown(const std::string& endpoint) {
  const auto it = members_.find(endpoint);
  if (it != members_.end() && !it->second.suspected) {
    it->second.suspected = true;
    ++version_;
  }
}

void Directory::SetOutDataCentres(const std::set<std::string>& names) {
  if (names != out_data_centres_) {
    out_data_centres_ = names;
    ++version_;
  }
}

void Directory::Tick(TimePoint now) {
  for (auto it = members_.begin(); it != members_.end();) {
    const Duration silence = now - it->second.last_heard;
    if (silence >= suspect_after_ && !it->second.suspected) {
      it->second.suspected = true;
      ++version_;
    }
    if (silence >= remove_after_) {
      it = members_.erase(it);
      ++version_;
    } else {
      ++it;
    }
  }
  if (outlier_detector_->Update(members_, now)) {
    ++version_;
  }
}

std::vector<api::WorkerInfo> Directory::CandidatesFor(const std::string& endpoint,
                                                      const std::string& data_centre,
                                                      std::size_t limit) const {
  RefreshDerived();
  std::vector<api::WorkerInfo> candidates;
  for (const auto* info : ring_->Select(endpoint, data_centre, limit)) {
    candidates.push_back(*info);
  }
  return candidates;
}

std::vector<api::WorkerInfo> Directory::AvailableCoordinators(
    const std::string& data_centre) const {
  std::vector<api::WorkerInfo> own;
  std::vector<api::WorkerInfo> others;
  std::vector<api::WorkerInfo> out_of_service;
  for (const auto& [endpoint, member] : members_) {
    const api::WorkerState state = member.info.state();
    if (member.suspected || (state != api::SERVING && state != api::EJECTED)) {
      continue;
    }
    const bool is_out = out_data_centres_.contains(member.info.data_centre());
    auto& group = is_out ? out_of_service : member.info.data_centre() == data_centre ? own : others;
    group.push_back(member.info);
  }
  own.insert(own.end(), others.begin(), others.end());
  return own.empty() ? out_of_service : own;
}

std::vector<api::WorkerInfo> Directory::Sample(std::size_t limit, std::uint64_t seed) const {
  std::map<std::string, std::vector<std::pair<std::uint64_t, const Member*>>> by_service;
  for (const auto& [endpoint, member] : members_) {
    if (member.renewed_here && !member.suspected) {
      by_service[member.info.service()].emplace_back(StableHash(endpoint, seed), &member);
    }
  }
  std::vector<api::WorkerInfo> sample;
  for (auto& [service, members] : by_service) {
    const std::size_t count = std::min(limit, members.size());
    std::partial_sort(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(count),
                      members.end(),
                      [](const auto& lhs, const auto& rhs) { return lhs.first < rhs.first; });
    for (std::size_t n = 0; n < count; ++n) {
      sample.push_back(members[n].second->info);
      if (members[n].second->ejected && sample.back().state() == api::SERVING) {
        sample.back().set_state(api::EJECTED);
      }
    }
  }
  return sample;
}

bool Directory::CanRun(const std::string& service, const api::Resources& needs, bool* known) const {
  RefreshDerived();
  const auto it = resource_offers_.find(service);
  *known = it != resource_offers_.end();
  return *known && std::any_of(it->second.begin(), it->second.end(),
                               [&](const auto& offer) { return Satisfies(offer, needs); });
}

std::vector<api::WorkerInfo> Directory::List(TimePoint now) const {
  std::vector<api::WorkerInfo> list;
  for (const auto& [endpoint, member] : members_) {
    list.push_back(member.info);
    if (member.suspected || now - member.last_heard >= suspect_after_) {
      list.back().set_state(api::SUSPECTED);
    } else if (member.ejected && member.info.state() == api::SERVING) {
      list.back().set_state(api::EJECTED);
    }
  }
  return list;
}

bool Directory::Ejected(const std::string& endpoint) const {
  const auto it = members_.find(endpoint);
  return it != members_.end() && it->second.ejected;
}

bool Directory::Eligible(const Member& member) const {
  if (member.suspected || out_data_centres_.contains(member.info.data_centre())) {
    return false;
  }
  if (member.ejected) {
    return member.probation &&
           (member.info.state() == api::SERVING || member.info.state() == api::EJECTED);
  }
  return member.info.state() == api::SERVING && member.info.slots() > 0;
}

void Directory::RefreshDerived() const {
  if (derived_version_ == version_ && ring_ != nullptr) {
    return;
  }
  derived_version_ = version_;
  ring_ = std::make_unique<CandidateRing>();
  resource_offers_.clear();
  for (const auto& [endpoint, member] : members_) {
    const api::Resources& resources = member.info.resources();
    auto& offers = resource_offers_[member.info.service()];
    const bool listed = std::any_of(offers.begin(), offers.end(), [&](const auto& offer) {
      return SameResources(offer, resources);
    });
    if (!listed) {
      offers.push_back(resources);
    }
    if (Eligible(member)) {
      ring_->Add(member.info);
    }
  }
  ring_->Sort();
}

}  // namespace coltsfoottide::core
