#include "coltsfoottide/direct/crash_correlation.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "coltsfoottide/direct/run_at_crash.h"

namespace coltsfoottide::direct {

namespace {

// Crashes that are compared with each other. Their number is bounded, as hundreds of backend
// servers may crash at once.
constexpr core::Duration kWindow = std::chrono::seconds(3);
constexpr std::size_t kMaxCompared = 16;
// Crashes that follow each other within this time, as those of a rack, count as one.
constexpr core::Duration kSameCause = std::chrono::milliseconds(20);
// Runs that had run for longer are not compared: a task that crashes its backend server does so
// soon after its start.
constexpr core::Duration kPromptCrash = std::chrono::milliseconds(250);
// The most by which the times of a cause differ: a crash is noticed 10 to 40 ms late.
constexpr core::Duration kNoticeSpread = std::chrono::milliseconds(30);
// Number of crashes that can show a cause.
constexpr std::size_t kMinCrashes = 3;

}  // namespace

std::optional<std::string> CrashCorrelation::OnCrash(const std::string& agent,
                                                     const WorkerCrash& crash) {
  const auto known = std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& it) {
    return it.agent == agent && it.incarnation == crash.incarnation;
  });
  const bool retracted = crash.kind == WorkerCrash::Kind::kRetracted;
  if (retracted && known != crashes_.end()) crashes_.erase(known);
  if (retracted || known != crashes_.end()) return std::nullopt;
  Crash added{agent, crash.incarnation, crash.time, {}};
  for (const RunAtCrash& it : crash.runs) {
    if (!it.route.empty() && it.ran_for <= kPromptCrash) {
      added.ran_for[it.route].push_back(it.ran_for);
    }
  }
  crashes_.push_back(std::move(added));
  std::erase_if(crashes_, [&](const Crash& it) { return crash.time - it.time > kWindow; });
  if (crashes_.size() > kMaxCompared) crashes_.pop_front();
  std::optional<std::string> best;
  std::size_t most = 0;
  for (const auto& [route, times] : crashes_.back().ran_for) {
    const std::size_t count = CountAlike(route);
    // Two routes that explain as many cannot be told apart yet.
    if (count == most) best.reset();
    if (count > most) best = route;
    most = std::max(most, count);
  }
  if (most < kMinCrashes) return std::nullopt;
  return best;
}

std::size_t CrashCorrelation::CountAlike(const std::string& route) const {
  // By the time that the run had run: when the crash was.
  std::multimap<core::Duration, core::TimePoint> runs;
  for (const Crash& it : crashes_) {
    const auto found = it.ran_for.find(route);
    if (found == it.ran_for.end()) continue;
    for (const core::Duration ran_for : found->second) runs.emplace(ran_for, it.time);
  }
  std::size_t most = 0;
  for (auto first = runs.begin(); first != runs.end(); ++first) {
    const auto last = runs.upper_bound(first->first + kNoticeSpread);
    std::set<core::TimePoint> times;
    for (auto it = first; it != last; ++it) times.insert(it->second);
    std::size_t count = 0;
    std::optional<core::TimePoint> previous;
    for (const core::TimePoint it : times) {
      if (!previous || it - *previous > kSameCause) ++count;
      previous = it;
    }
    most = std::max(most, count);
  }
  return most;
}

}  // namespace coltsfoottide::direct
