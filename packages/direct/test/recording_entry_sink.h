#pragma once

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/entry_sink.h"

namespace coltsfoottide::direct {

// Records the decisions of a dispatcher.
class RecordingEntrySink : public EntrySink {
 public:
  struct Sent {
    std::string agent;
    RunId id;
  };

  void Answer(const std::string& job, const JobOutcome& outcome) override {
    answers.emplace_back(job, outcome);
  }
  void OnJobRemoved(const std::string& job, const std::optional<JobOutcome>& /*outcome*/) override {
    removed.push_back(job);
  }
  void OnClaimNeeded(JobRequest request, core::TimePoint /*now*/) override {
    to_claim.push_back(request.id);
  }
  void SendOrder(const std::string& agent, const RunOrder& order) override {
    orders.push_back({agent, order.id});
    latest_order = order;
  }
  void OnPlaced(const std::string& /*job*/, const std::vector<PlacedTask>& tasks,
                core::TimePoint /*now*/) override {
    placed.insert(placed.end(), tasks.begin(), tasks.end());
  }
  void SendStop(const std::string& agent, const RunId& id) override {
    stops.push_back({agent, id});
  }
  void SendWithdraw(const std::string& agent, const RunId& id) override {
    withdrawals.push_back({agent, id});
  }
  void SendExpedite(const std::string& agent, const RunId& id) override {
    expedites.push_back({agent, id});
  }
  void OnRunTakenAsOver(const std::string& agent, const RunId& id,
                        const std::string& /*reason*/) override {
    taken_as_over.push_back({agent, id});
  }
  void OnCrashVerdict(const CrashVerdict& verdict, std::size_t /*crashes*/) override {
    crash_verdicts.push_back(verdict);
  }
  void OnCrashingRoute(const std::string& route) override { crashing_routes.push_back(route); }
  void OnIsolationChanged(const std::string& route, const std::set<std::string>& agents) override {
    isolations.emplace_back(route, agents);
  }
  void SendClaim(const std::string& agent, const RunId& id, const Resources& /*need*/) override {
    claims.push_back({agent, id});
  }

  std::vector<std::pair<std::string, JobOutcome>> answers;
  std::vector<std::string> removed;
  std::vector<std::string> to_claim;
  std::vector<Sent> orders;
  RunOrder latest_order;
  std::vector<PlacedTask> placed;
  std::vector<Sent> stops;
  std::vector<Sent> withdrawals;
  std::vector<Sent> expedites;
  std::vector<Sent> claims;
  std::vector<Sent> taken_as_over;
  std::vector<CrashVerdict> crash_verdicts;
  std::vector<std::string> crashing_routes;
  std::vector<std::pair<std::string, std::set<std::string>>> isolations;
};

}  // namespace coltsfoottide::direct
