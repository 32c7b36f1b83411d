#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/crash_verdict.h"
#include "coltsfoottide/direct/task_id.h"
#include "coltsfoottide/direct/worker_crash.h"

namespace coltsfoottide::direct {

// Attributes crashes of backend servers to tasks. Each run that was on the backend server
// may be the cause of its crash. A task under which several crashes have no other
// explanation counts as the cause of all of them, and explains them for the tasks that
// ran beside it. Counts are kept by task id, so they hold across submissions of a job.
class CrashHistory {
 public:
  // Takes a report of the agent: records a crash, or forgets one that is retracted. A crash that
  // is already known changes nothing, and one that is only suspected gives no task up. Returns
  // the tasks that must not be started again from now on.
  std::vector<CrashVerdict> OnCrash(const std::string& agent, const WorkerCrash& crash);

  // The verdict on a task of the job, if there is one.
  std::optional<CrashVerdict> VerdictOn(const std::string& job) const;
  // Number of crashes under the task, explained or not.
  std::size_t CountCrashes(const TaskId& task) const;

  // Agents whose backend server has crashed since this time, or is suspected to.
  std::set<std::string> CrashedSince(core::TimePoint since) const;

  // Forgets crashes that are older than kCrashRetention.
  void Forget(core::TimePoint now);

 private:
  struct Crash {
    std::string agent;
    WorkerCrash crash;
    // The tasks that may have caused it, once all others are cleared.
    std::set<TaskId> causes;
  };
  // A crash under a task.
  struct Evidence {
    Crash* crash = nullptr;
    core::Duration ran_for{};
    bool confirmed = false;
  };
  // The unexplained crashes under a task.
  struct Summary {
    std::size_t crashes = 0;
    std::size_t confirmed = 0;
    // Longest and shortest time that the task had run, among the confirmed ones.
    core::Duration longest{};
    core::Duration shortest = core::Duration::max();
  };

  // Forgets a crash that has not happened, and the verdicts that may rest on it.
  void Retract(std::list<Crash>::iterator crash);
  void Remove(std::list<Crash>::iterator crash);
  Summary Unexplained(const TaskId& task) const;
  // The tasks that are the most likely causes of the crash and of earlier ones, most
  // likely one first.
  std::vector<TaskId> FindCauses(const Crash& crash) const;

  // Clears all other tasks of the unexplained crashes under these.
  void Attribute(const std::vector<TaskId>& causes);

  // Oldest first.
  std::list<Crash> crashes_;
  std::map<TaskId, std::vector<Evidence>> tasks_;
  // Tasks that are not started again.
  std::map<TaskId, CrashVerdict> given_up_;
};

}  // namespace coltsfoottide::direct
