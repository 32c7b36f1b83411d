#include "outlier_detector.h"

#include <algorithm>
#include <vector>

namespace coltsfoottide::core {
namespace {

// A worker is ejected from this many recent failures and this failure ratio on.
constexpr std::uint32_t kMinFailures = 5;
constexpr double kEjectionRatio = 0.9;
// No worker is ejected while the median failure ratio of its service is this or
// higher.
constexpr double kMedianRatioLimit = 0.5;
// Largest ejected share of a service's workers.
constexpr double kMaxEjectedShare = 0.3;
constexpr Duration kFirstProbationDelay = std::chrono::seconds(5);
constexpr Duration kMaxProbationDelay = std::chrono::seconds(60);
// Task starts after which a probation is decided.
constexpr std::uint64_t kProbationTasks = 3;
// Window of the agents' recent counters. For this long after a reinstatement
// they show failures from before it.
constexpr Duration kCounterWindow = std::chrono::seconds(10);

double FailureRatio(const Directory::Member& member) {
  return member.recent_starts == 0
             ? 0
             : static_cast<double>(member.recent_failures) / member.recent_starts;
}

bool FailsNearlyAll(const Directory::Member& member) {
  return member.recent_failures >= kMinFailures && FailureRatio(member) >= kEjectionRatio;
}

// Median failure ratio of the workers with recent starts that are not ejected;
// idle workers have no failure ratio.
double MedianRatio(const std::vector<Directory::Member*>& members) {
  std::vector<double> ratios;
  for (const auto* member : members) {
    if (member->recent_starts > 0 && !member->ejected) {
      ratios.push_back(FailureRatio(*member));
    }
  }
  if (ratios.empty()) {
    return 0;
  }
  const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  return *middle;
}

}  // namespace

bool OutlierDetector::Update(Members& members, TimePoint now) {
  DropStaleEjections(members);
  std::erase_if(reinstated_, [&](const auto& it) { return now - it.second >= kCounterWindow; });
  bool changed = UpdateProbations(members, now);
  std::set<std::string> services;
  for (const auto& [endpoint, member] : members) {
    if (!member.ejected && FailsNearlyAll(member)) {
      services.insert(member.info.service());
    }
  }
  for (const auto& service : services) {
    changed = EjectOutliers(service, members, now) || changed;
  }
  return changed;
}

void OutlierDetector::DropStaleEjections(const Members& members) {
  std::erase_if(ejections_, [&](const auto& it) {
    const auto member = members.find(it.first);
    return member == members.end() || !member->second.ejected ||
           member->second.info.incarnation() != it.second.incarnation;
  });
}

bool OutlierDetector::UpdateProbations(Members& members, TimePoint now) {
  bool changed = false;
  for (auto& [endpoint, ejection] : ejections_) {
    Directory::Member& member = members.at(endpoint);
    if (member.probation) {
      changed = EndProbationIfDecided(ejection, member, now) || changed;
    } else if (now >= ejection.probation_at) {
      member.probation = true;
      ejection.starts = member.info.starts();
      ejection.failures = member.info.failures();
      changed = true;
    }
  }
  return changed;
}

bool OutlierDetector::EndProbationIfDecided(Ejection& ejection, Directory::Member& member,
                                            TimePoint now) {
  const std::uint64_t starts = member.info.starts() - ejection.starts;
  const std::uint64_t failures = member.info.failures() - ejection.failures;
  // A failure is counted when the task ends, so wait until none runs.
  if (starts < kProbationTasks || member.info.busy() > 0) {
    return false;
  }
  member.probation = false;
  if (2 * failures < starts) {
    member.ejected = false;
    reinstated_[member.info.endpoint()] = now;
  } else {
    ejection.delay = std::min(2 * ejection.delay, kMaxProbationDelay);
    ejection.probation_at = now + ejection.delay;
  }
  return true;
}

bool OutlierDetector::EjectOutliers(const std::string& service, Members& members, TimePoint now) {
  std::vector<Directory::Member*> workers;
  for (auto& [endpoint, member] : members) {
    if (member.info.service() == service && member.renewed_here && !member.suspected) {
      workers.push_back(&member);
    }
  }
  if (MedianRatio(workers) >= kMedianRatioLimit) {
    return false;
  }
  auto ejected = static_cast<std::size_t>(
      std::count_if(workers.begin(), workers.end(), [](const auto* it) { return it->ejected; }));
  const auto limit =
      static_cast<std::size_t>(kMaxEjectedShare * static_cast<double>(workers.size()));
  std::sort(workers.begin(), workers.end(), [](const auto* lhs, const auto* rhs) {
    return lhs->recent_failures > rhs->recent_failures;
  });
  bool changed = false;
  for (Directory::Member* member : workers) {
    if (ejected >= limit) {
      break;
    }
    if (member->ejected || !FailsNearlyAll(*member) ||
        reinstated_.contains(member->info.endpoint())) {
      continue;
    }
    member->ejected = true;
    member->probation = false;
    ejections_[member->info.endpoint()] = {member->info.incarnation(), now + kFirstProbationDelay,
                                           kFirstProbationDelay, 0, 0};
    ++ejected;
    changed = true;
  }
  return changed;
}

}  // namespace coltsfoottide::core
