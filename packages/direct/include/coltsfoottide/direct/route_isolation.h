#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Confines routes whose tasks crash backend servers to a part of the fleet (a bulkhead):
// other routes stay served even if such tasks arrive faster than backend servers restart.
// An isolated route gets the share of the backend servers that its work has in all work;
// all other routes keep the rest. Entries that know the same backend servers choose the
// same ones.
class RouteIsolation {
 public:
  // Records a submitted job. `work` is that of its tasks in millicore-milliseconds.
  void OnSubmit(const std::string& service, const std::string& route, std::uint64_t work,
                core::TimePoint now);

  // Isolates the route until this time, or until the one given before if that is later.
  void Isolate(const std::string& route, core::TimePoint until);

  // Another entry isolates the route until this time.
  void Adopt(const std::string& route, core::TimePoint until);

  // A backend server has crashed: the routes that are confined to it stay isolated until
  // this time at least.
  void Extend(const std::string& agent, core::TimePoint until);

  // Chooses the backend servers of each isolated route, and ends isolations. `agents` are
  // those of each service, with those that have crashed and are expected back: otherwise a
  // route would take one backend server after the other. Those in `crashed` are chosen
  // first, so that other routes keep all that are up. An adopted route gets none but these
  // as long as this process has seen too few jobs to tell its share.
  void Assign(const std::map<std::string, std::vector<std::string>>& agents,
              const std::set<std::string>& crashed, core::TimePoint now);

  // Whether any route is isolated.
  bool active() const { return !isolated_.empty(); }
  bool IsIsolated(const std::string& route) const { return isolated_.contains(route); }
  bool MayUse(const std::string& route, const std::string& agent) const;
  // Whether the route is adopted, and no agent whose backend server has crashed is known
  // yet. Its jobs should wait.
  bool IsPending(const std::string& route, core::TimePoint now) const;
  // The service of a route that has submitted jobs, otherwise empty.
  std::string ServiceOf(const std::string& route) const;
  // The agents of each isolated route.
  std::map<std::string, std::set<std::string>> isolated() const;
  // When the isolation of each isolated route ends.
  std::map<std::string, core::TimePoint> ends() const;

 private:
  struct Demand {
    std::string service;
    // Sum of the latest work; the older, the less it counts.
    double work = 0;
    core::TimePoint updated;

    double At(core::TimePoint now) const;
  };
  struct Isolation {
    core::TimePoint until;
    // Whether it was taken over from another entry.
    bool adopted = false;
    bool pending = false;
    std::set<std::string> agents;
  };

  void AssignService(const std::string& service, std::vector<std::string> agents,
                     const std::set<std::string>& crashed, core::TimePoint now);

  // Whether this process has seen enough jobs to tell the shares of routes.
  bool IsSettled(core::TimePoint now) const;

  std::map<std::string, Demand> demands_;
  std::map<std::string, Isolation> isolated_;
  // Agents that belong to an isolated route.
  std::set<std::string> confined_;
  std::optional<core::TimePoint> first_submit_;
};

}  // namespace coltsfoottide::direct
