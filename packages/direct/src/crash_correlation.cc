#include "coltsfoottide/direct/crash_correlation.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "coltsfoottide/direct/run_at_crash.h"
#include "crash_bounds.h"

namespace coltsfoottide::direct {

namespace {

// Crashes that are compared with each other.
constexpr core::Duration kWindow = std::chrono::seconds(3);
// A crash that is noticed within this time of another one may be the same event and is not
// counted. What happens at one moment, as when a rack fails, is noticed within kNoticeSpread and
// so counts twice at most.
constexpr core::Duration kSameEvent = std::chrono::milliseconds(20);
static_assert(2 * kSameEvent > kNoticeSpread);
// Number of crashes that can show a cause.
constexpr std::size_t kMinCrashes = 3;

}  // namespace

std::optional<std::string> CrashCorrelation::OnCrash(const std::string& agent,
                                                     const WorkerCrash& crash) {
  const auto known = std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& it) {
    return it.agent == agent && it.incarnation == crash.incarnation;
  });
  if (crash.kind == WorkerCrash::Kind::kRetracted) {
    if (known != crashes_.end()) crashes_.erase(known);
    return std::nullopt;
  }
  if (known != crashes_.end() || IsBesideAnother(crash)) return std::nullopt;
  Add(agent, crash);
  std::erase_if(crashes_, [&](const Crash& it) { return crash.time - it.time > kWindow; });
  return FindCause();
}

bool CrashCorrelation::IsBesideAnother(const WorkerCrash& crash) const {
  return std::any_of(crashes_.begin(), crashes_.end(), [&crash](const Crash& it) {
    return std::chrono::abs(crash.time - it.time) <= kSameEvent;
  });
}

void CrashCorrelation::Add(const std::string& agent, const WorkerCrash& crash) {
  Crash added{agent, crash.incarnation, crash.time, {}};
  for (const RunAtCrash& it : crash.runs) {
    if (!it.route.empty() && it.ran_for <= kPromptCrash) {
      added.ran_for[it.route].push_back(it.ran_for);
    }
  }
  crashes_.push_back(std::move(added));
}

std::optional<std::string> CrashCorrelation::FindCause() const {
  std::optional<std::string> best;
  std::size_t most = 0;
  for (const auto& [route, times] : crashes_.back().ran_for) {
    const std::size_t count = CountAlike(route);
    // Further crashes will tell two routes apart that explain as many.
    if (count == most) best.reset();
    if (count > most) best = route;
    most = std::max(most, count);
  }
  if (most < kMinCrashes) return std::nullopt;
  return best;
}

std::size_t CrashCorrelation::CountAlike(const std::string& route) const {
  // The crashes, by the time that a run of the route had run.
  std::multimap<core::Duration, const Crash*> runs;
  for (const Crash& it : crashes_) {
    const auto found = it.ran_for.find(route);
    if (found == it.ran_for.end()) continue;
    for (const core::Duration ran_for : found->second) runs.emplace(ran_for, &it);
  }
  std::size_t most = 0;
  for (auto first = runs.begin(); first != runs.end(); ++first) {
    const auto last = runs.upper_bound(first->first + kNoticeSpread);
    std::set<const Crash*> crashes;
    for (auto it = first; it != last; ++it) crashes.insert(it->second);
    most = std::max(most, crashes.size());
  }
  return most;
}

}  // namespace coltsfoottide::direct
