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
#include "coltsfoottide/direct/step_candidate.h"
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

  // Compares the measured speeds of the backend servers of each service. Linear in
  // the connected agents, so call it at an interval and not for each placement.
  void CompareSpeeds();

  // Whether an agent is not to be used. If empty, all may be used.
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

  // The same for several tasks of a step with one pass over the backend servers: returns those
  // that may take a task, for ChooseFrom and OnOrder. Valid until a view changes otherwise.
  std::vector<StepCandidate> FindCandidates(const std::string& service, const StepRequest& step,
                                            const Exclusion& unusable);
  // Chooses one as Choose does. `full`: the candidates that are not used for this task.
  std::optional<PlacementChoice> ChooseFrom(const std::vector<StepCandidate>& candidates,
                                            const std::set<std::string>& excluded,
                                            const Exclusion& full);
  // Records an order of a task of the step at the agent, which the candidates then account for.
  void OnOrder(const std::string& agent, const StepRequest& step, std::uint32_t priority,
               std::vector<StepCandidate>& candidates);

  // Total CPU, in millicores at average speed, of the backend servers that may
  // take work of the service, without unusable ones.
  std::uint64_t Capacity(const std::string& service, const Exclusion& unusable) const;

  // Time for which the queued work of the service keeps these backend servers
  // busy. Work that is already late is left out because it runs after work that
  // can be in time.
  core::Duration Backlog(const std::string& service, const Exclusion& unusable) const;

  // Whether a task that is queued at `agent` would end later at the chosen backend
  // server, because that one is slower.
  bool EndsSoonerAt(const std::string& agent, const StepRequest& step,
                    const PlacementChoice& choice) const;
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
  // Sets the expected times of a candidate for a task of the step.
  void Evaluate(const StepRequest& step, StepCandidate& candidate) const;
  std::optional<PlacementChoice> Draw(const std::vector<StepCandidate>& candidates,
                                      const std::set<std::string>& excluded, const Exclusion& full);

  std::string data_centre_;
  double far_factor_;
  std::map<std::string, WorkerView> workers_;
  std::set<std::string> evacuated_;
  std::mt19937_64 random_;
  // Of the last draw; keeps its memory for the next one.
  std::vector<const StepCandidate*> drawn_from_;
  // Services with backend servers whose difference in speed counts.
  std::set<std::string> uneven_services_;
};

}  // namespace coltsfoottide::direct
