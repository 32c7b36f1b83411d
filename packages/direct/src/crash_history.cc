#include "coltsfoottide/direct/crash_history.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace coltsfoottide::direct {

namespace {

// Longer than any job, whose caller may come back with it through another entry.
constexpr core::Duration kRetention = std::chrono::seconds(30);
// A task that crashes its backend server does so soon after its start. Crashes that
// come later are weaker evidence.
constexpr core::Duration kPromptCrash = std::chrono::milliseconds(250);
// Number of unexplained crashes after which a task counts as their cause: if it
// certainly ran at each and they were prompt, and in any case.
constexpr std::size_t kPromptCrashes = 2;
constexpr std::size_t kAnyCrashes = 3;
// Number of certain crashes that prove a verdict.
constexpr std::size_t kProof = 2;
// Number of crashes after which a task is not started again, even if other tasks
// explain them all. After the third crash it has been started once.
constexpr std::size_t kMaxCrashes = 4;

}  // namespace

std::vector<CrashVerdict> CrashHistory::OnCrash(const std::string& agent,
                                                const WorkerCrash& crash) {
  const bool known = std::any_of(crashes_.begin(), crashes_.end(), [&](const Crash& it) {
    return it.agent == agent && it.crash.incarnation == crash.incarnation;
  });
  if (known) return {};
  Crash& added = crashes_.emplace_back(Crash{agent, crash, std::nullopt});
  for (const RunAtCrash& it : crash.runs) {
    tasks_[it.id.task].push_back({&added, it.ran_for, it.confirmed});
  }
  std::vector<CrashVerdict> verdicts;
  const auto give_up = [this, &verdicts](const TaskId& task, bool proven) {
    if (given_up_.emplace(task, proven).second) verdicts.push_back({task, proven});
  };
  if (const std::optional<TaskId> cause = FindCause(added)) {
    give_up(*cause, Unexplained(*cause).confirmed >= kProof);
    for (const Evidence& it : tasks_.at(*cause)) {
      if (!it.crash->cause) it.crash->cause = *cause;
    }
  }
  for (const RunAtCrash& it : crash.runs) {
    if (CountCrashes(it.id.task) >= kMaxCrashes) give_up(it.id.task, false);
  }
  return verdicts;
}

CrashHistory::Summary CrashHistory::Unexplained(const TaskId& task) const {
  Summary summary;
  const auto it = tasks_.find(task);
  if (it == tasks_.end()) return summary;
  for (const Evidence& evidence : it->second) {
    if (evidence.crash->cause && *evidence.crash->cause != task) continue;
    ++summary.crashes;
    if (!evidence.confirmed) continue;
    ++summary.confirmed;
    summary.longest = std::max(summary.longest, evidence.ran_for);
  }
  return summary;
}

// The task with the most crashes at which it certainly ran; among equals the one
// whose longest run was shortest, since a task without fault is as likely to be hit
// late as early.
std::optional<TaskId> CrashHistory::FindCause(const Crash& crash) const {
  std::optional<TaskId> cause;
  Summary best;
  for (const RunAtCrash& it : crash.crash.runs) {
    const Summary found = Unexplained(it.id.task);
    const bool prompt = found.confirmed >= kPromptCrashes && found.longest <= kPromptCrash;
    if (!prompt && found.crashes < kAnyCrashes) continue;
    const bool fewer = found.confirmed < best.confirmed;
    const bool later = found.confirmed == best.confirmed && found.longest >= best.longest;
    if (cause && (fewer || later)) continue;
    cause = it.id.task;
    best = found;
  }
  return cause;
}

std::optional<CrashVerdict> CrashHistory::VerdictOn(const std::string& job) const {
  const auto it = given_up_.lower_bound(TaskId{job, 0, 0});
  if (it == given_up_.end() || it->first.job != job) return std::nullopt;
  return CrashVerdict{it->first, it->second};
}

std::size_t CrashHistory::CountCrashes(const TaskId& task) const {
  const auto it = tasks_.find(task);
  return it == tasks_.end() ? 0 : it->second.size();
}

void CrashHistory::Forget(core::TimePoint now) {
  while (!crashes_.empty() && now - crashes_.front().crash.time > kRetention) {
    const Crash* const oldest = &crashes_.front();
    for (const RunAtCrash& it : oldest->crash.runs) {
      const auto task = tasks_.find(it.id.task);
      if (task == tasks_.end()) continue;
      std::erase_if(task->second, [oldest](const Evidence& e) { return e.crash == oldest; });
      if (!task->second.empty()) continue;
      tasks_.erase(task);
      given_up_.erase(it.id.task);
    }
    crashes_.pop_front();
  }
}

}  // namespace coltsfoottide::direct
