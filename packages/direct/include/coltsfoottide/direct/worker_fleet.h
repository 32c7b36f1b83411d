#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/placement_choice.h"
#include "coltsfoottide/direct/worker_view.h"

namespace coltsfoottide::direct {

// The backend servers that an entry knows, by agent, and the choice among
// them.
class WorkerFleet {
 public:
  // `data_centre` is the entry's own; `far_factor` is how many times as long
  // a task takes away from its data; `seed` differs between entries.
  WorkerFleet(std::string data_centre, double far_factor, std::uint64_t seed);

  WorkerView& Get(const std::string& agent) { return workers_[agent]; }
  void SetEvacuated(std::set<std::string> data_centres) { evacuated_ = std::move(data_centres); }

  // Returns a backend server with the earliest expected end for one task of
  // the step, nothing where none may take it. Those that `excluded` names are
  // used only when there is no other. Among equal ones it draws, by free room:
  // the views of several entries age alike, and all of them taking the one
  // with most room would fill it at once.
  std::optional<PlacementChoice> Choose(const std::string& service, const StepRequest& step,
                                        const std::set<std::string>& excluded,
                                        const std::function<bool(const std::string&)>& full);

  // Cores, in millicores, of all that may take work of the service.
  std::uint64_t Capacity(const std::string& service) const;

  // Time that the work waiting for the service keeps all of them busy. Work
  // that is late already is left out: it goes behind what can be in time.
  core::Duration Backlog(const std::string& service) const;

 private:
  bool MayTakeWork(const WorkerView& view, const std::string& service) const;
  std::optional<PlacementChoice> ChooseAmong(const std::string& service, const StepRequest& step,
                                             const std::set<std::string>& excluded,
                                             const std::function<bool(const std::string&)>& full);

  std::string data_centre_;
  double far_factor_;
  std::map<std::string, WorkerView> workers_;
  std::set<std::string> evacuated_;
  std::mt19937_64 random_;
};

}  // namespace coltsfoottide::direct
