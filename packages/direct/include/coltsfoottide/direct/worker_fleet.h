#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/placement_choice.h"
#include "coltsfoottide/direct/worker_view.h"

namespace coltsfoottide::direct {

// The backend servers that an entry knows, by agent. Chooses one for each task.
class WorkerFleet {
 public:
  // `data_centre` is the entry's own; `far_factor` is the factor by which a
  // task takes longer away from its data; `seed` differs between entries.
  WorkerFleet(std::string data_centre, double far_factor, std::uint64_t seed);

  WorkerView& Get(const std::string& agent) { return workers_[agent]; }
  void SetEvacuated(std::set<std::string> data_centres) { evacuated_ = std::move(data_centres); }

  // Whether an agent is not to be used.
  using Exclusion = std::function<bool(const std::string& agent)>;

  // Returns a backend server with the earliest expected end for one task of the
  // step, or nothing if none may take it. Agents in `excluded` are used only if
  // there is no other; those for which `unusable` returns true are not used.
  // Among those whose expected ends differ by at most 3 ms the choice is
  // random, weighted by the square of the free CPU: the views of several
  // entries are equally old, and if all of them took the one with the most free
  // CPU they would fill it at once.
  std::optional<PlacementChoice> Choose(const std::string& service, const StepRequest& step,
                                        const std::set<std::string>& excluded,
                                        const Exclusion& unusable);

  // Total CPU, in millicores, of the backend servers that may take work of the
  // service, without unusable ones.
  std::uint64_t Capacity(const std::string& service, const Exclusion& unusable) const;

  // Time for which the queued work of the service keeps these backend servers
  // busy. Work that is already late is left out because it runs after work that
  // can be in time.
  core::Duration Backlog(const std::string& service, const Exclusion& unusable) const;

  // The part of Backlog that is due to less urgent work than this priority.
  core::Duration LessUrgentBacklog(const std::string& service, std::uint32_t priority,
                                   const Exclusion& unusable) const;

  // Number of these agents whose backend server meets the requirements of the step, without
  // unusable ones.
  std::size_t CountSuitable(const std::vector<std::string>& agents, const StepRequest& step,
                            const Exclusion& unusable) const;

  // Connected agents by the service of their backend servers: those that take work, and
  // those that do not and are in `expected_back`. Evacuated data centres are left out.
  std::map<std::string, std::vector<std::string>> AgentsByService(
      const std::set<std::string>& expected_back) const;

 private:
  bool MayTakeWork(const WorkerView& view, const std::string& service) const;
  std::optional<PlacementChoice> ChooseAmong(const std::string& service, const StepRequest& step,
                                             const std::set<std::string>& excluded,
                                             const Exclusion& unusable);

  std::string data_centre_;
  double far_factor_;
  std::map<std::string, WorkerView> workers_;
  std::set<std::string> evacuated_;
  std::mt19937_64 random_;
};

}  // namespace coltsfoottide::direct
