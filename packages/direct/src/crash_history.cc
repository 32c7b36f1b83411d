#include "coltsfoottide/direct/crash_history.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "coltsfoottide/direct/time_bounds.h"
#include "crash_bounds.h"

namespace coltsfoottide::direct {

namespace {

// Number of unexplained crashes after which a task counts as their cause: if it
// certainly ran at each and they were prompt, and in any case.
constexpr std::size_t kPromptCrashes = 2;
constexpr std::size_t kAnyCrashes = 3;
// Tasks whose longest run took at most this percentage of the shortest such time count as
// equally likely causes: a crash is noticed 10 to 40 ms late.
constexpr int kSimilarPercent = 150;
constexpr int kWhole = 100;
// Number of certain crashes that prove a verdict.
constexpr std::size_t kProof = 2;
// Number of crashes after which a task is not started again, even if other tasks
// explain them all. After the third crash it has been started once.
constexpr std::size_t kMaxCrashes = 4;

}  // namespace

std::vector<CrashVerdict> CrashHistory::OnCrash(const std::string& agent,
                                                const WorkerCrash& crash) {
  const auto known = std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& it) {
    return it.agent == agent && it.crash.incarnation == crash.incarnation;
  });
  using Kind = WorkerCrash::Kind;
  if (crash.kind == Kind::kRetracted) {
    if (known != crashes_.end()) Retract(known);
    return {};
  }
  if (known != crashes_.end()) {
    if (known->crash.kind != Kind::kSuspected || crash.kind == Kind::kSuspected) return {};
    Remove(known);
  }
  Crash& added = crashes_.emplace_back(Crash{agent, crash, {}});
  // No task is given up for what may be a cut of the network.
  if (crash.kind == Kind::kSuspected) return {};
  for (const RunAtCrash& it : crash.runs) {
    tasks_[it.id.task].push_back({&added, it.ran_for, it.confirmed});
  }
  std::vector<CrashVerdict> verdicts;
  const auto give_up = [this, &verdicts](const CrashVerdict& verdict) {
    if (given_up_.emplace(verdict.task, verdict).second) verdicts.push_back(verdict);
  };
  const std::vector<TaskId> causes = FindCauses(added);
  const bool one_job = std::all_of(causes.begin(), causes.end(), [&causes](const TaskId& it) {
    return it.job == causes.front().job;
  });
  for (const TaskId& it : causes) {
    const Summary found = Unexplained(it);
    const bool alike = found.longest - found.shortest <= kNoticeSpread;
    give_up({it, one_job && alike && found.confirmed >= kProof});
  }
  Attribute(causes);
  for (const RunAtCrash& it : crash.runs) {
    if (CountCrashes(it.id.task) >= kMaxCrashes) give_up({it.id.task, false});
  }
  return verdicts;
}

CrashHistory::Summary CrashHistory::Unexplained(const TaskId& task) const {
  Summary summary;
  const auto it = tasks_.find(task);
  if (it == tasks_.end()) return summary;
  for (const Evidence& evidence : it->second) {
    const std::set<TaskId>& causes = evidence.crash->causes;
    if (!causes.empty() && !causes.contains(task)) continue;
    ++summary.crashes;
    if (!evidence.confirmed) continue;
    ++summary.confirmed;
    summary.longest = std::max(summary.longest, evidence.ran_for);
    summary.shortest = std::min(summary.shortest, evidence.ran_for);
  }
  return summary;
}

// The tasks with the most confirmed crashes, without those that had run clearly longer:
// a task that is not the cause may have run for any time.
std::vector<TaskId> CrashHistory::FindCauses(const Crash& crash) const {
  std::vector<std::pair<Summary, TaskId>> found;
  for (const RunAtCrash& it : crash.crash.runs) {
    const Summary summary = Unexplained(it.id.task);
    const bool prompt = summary.confirmed >= kPromptCrashes && summary.longest <= kPromptCrash;
    if (prompt || summary.crashes >= kAnyCrashes) found.emplace_back(summary, it.id.task);
  }
  std::stable_sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
    if (a.first.confirmed != b.first.confirmed) return a.first.confirmed > b.first.confirmed;
    return a.first.longest < b.first.longest;
  });
  std::vector<TaskId> causes;
  for (const auto& [summary, task] : found) {
    const Summary& best = found.front().first;
    const bool similar = summary.longest * kWhole <= best.longest * kSimilarPercent;
    if (summary.confirmed == best.confirmed && similar) causes.push_back(task);
  }
  return causes;
}

void CrashHistory::Attribute(const std::vector<TaskId>& causes) {
  std::set<Crash*> explained;
  for (const TaskId& task : causes) {
    for (const Evidence& it : tasks_.at(task)) {
      if (it.crash->causes.empty()) explained.insert(it.crash);
    }
  }
  for (Crash* const it : explained) it->causes.insert(causes.begin(), causes.end());
}

std::optional<CrashVerdict> CrashHistory::VerdictOn(const std::string& job) const {
  const auto it = given_up_.lower_bound(TaskId{job, 0, 0});
  if (it == given_up_.end() || it->first.job != job) return std::nullopt;
  return it->second;
}

std::size_t CrashHistory::CountCrashes(const TaskId& task) const {
  const auto it = tasks_.find(task);
  return it == tasks_.end() ? 0 : it->second.size();
}

std::set<std::string> CrashHistory::CrashedSince(core::TimePoint since) const {
  std::set<std::string> agents;
  for (const Crash& it : crashes_) {
    if (it.crash.time >= since) agents.insert(it.agent);
  }
  return agents;
}

void CrashHistory::Forget(core::TimePoint now) {
  while (!crashes_.empty() && now - crashes_.front().crash.time > kCrashRetention) {
    Remove(crashes_.begin());
  }
}

void CrashHistory::Retract(std::list<Crash>::iterator crash) {
  if (crash->crash.kind == WorkerCrash::Kind::kCrashed) {
    for (const RunAtCrash& it : crash->crash.runs) given_up_.erase(it.id.task);
  }
  Remove(crash);
}

void CrashHistory::Remove(std::list<Crash>::iterator crash) {
  const Crash* const removed = &*crash;
  for (const RunAtCrash& it : removed->crash.runs) {
    const auto task = tasks_.find(it.id.task);
    if (task == tasks_.end()) continue;
    std::erase_if(task->second, [removed](const Evidence& e) { return e.crash == removed; });
    if (!task->second.empty()) continue;
    tasks_.erase(task);
    given_up_.erase(it.id.task);
  }
  crashes_.erase(crash);
}

}  // namespace coltsfoottide::direct
