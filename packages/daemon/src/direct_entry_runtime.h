#pragma once

#include <QTimer>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "claim_exchange.h"
#include "claim_exchange_listener.h"
#include "client_memory.h"
#include "coltsfoottide/daemon/runtime.h"
#include "coltsfoottide/daemon/settings.h"
#include "coltsfoottide/direct/entry_load.h"
#include "coltsfoottide/direct/entry_sink.h"
#include "coltsfoottide/direct/initial_view.h"
#include "coltsfoottide/direct/job_dispatcher.h"
#include "coltsfoottide/direct/operator_view.h"
#include "coltsfoottide/direct/stale_records.h"
#include "coltsfoottide/http/server.h"
#include "coltsfoottide/platform/store_client.h"
#include "entry_links.h"
#include "entry_links_listener.h"
#include "graceful_stop.h"
#include "metrics_server.h"
#include "topic_follower.h"

namespace coltsfoottide::daemon {

class Logger;
class Metrics;

// An entry for jobs that are not stored: accepts them from callers over HTTP,
// dispatches their tasks to agents, and follows the operator's records in the
// store. Runs on the Qt thread only.
class DirectEntryRuntime : public Runtime,
                           private direct::EntrySink,
                           private ClaimExchangeListener,
                           private EntryLinksListener {
 public:
  DirectEntryRuntime(const Settings& settings, Logger& logger, Metrics& metrics);
  ~DirectEntryRuntime() override;

  std::optional<RuntimeError> Start() override;
  void Reload(const Settings& settings) override;
  void BeginStop(std::function<void()> on_stopped) override;

 private:
  // The HTTP requests that wait for the outcome of one job.
  struct Submission {
    std::vector<std::uint64_t> requests;
    // A caller waits at another entry, to which the outcome goes.
    bool awaited_elsewhere = false;
    std::string route;
    std::uint32_t priority = 0;
    core::TimePoint submitted;
  };

  // EntrySink
  void Answer(const std::string& job, const direct::JobOutcome& outcome) override;
  void OnJobRemoved(const std::string& job,
                    const std::optional<direct::JobOutcome>& outcome) override;
  void OnClaimNeeded(direct::JobRequest request, core::TimePoint now) override;
  void SendOrder(const std::string& agent, const direct::RunOrder& order) override;
  void OnPlaced(const std::string& job, const std::vector<direct::PlacedTask>& placed,
                core::TimePoint now) override;
  void SendStop(const std::string& agent, const direct::RunId& id) override;
  void SendWithdraw(const std::string& agent, const direct::RunId& id) override;
  void SendExpedite(const std::string& agent, const direct::RunId& id) override;
  void OnRunTakenAsOver(const std::string& agent, const direct::RunId& id,
                        const std::string& reason) override;
  void OnCrashVerdict(const direct::CrashVerdict& verdict, std::size_t crashes) override;
  void OnCrashingRoute(const std::string& route) override;
  void OnIsolationChanged(const std::string& route, const std::set<std::string>& agents) override;
  void SendClaim(const std::string& agent, const direct::RunId& id,
                 const direct::Resources& need) override;

  // ClaimExchangeListener
  void OnClaimGranted(direct::JobRequest request, core::TimePoint now) override;
  void OnClaimEnded(const std::string& job, const direct::JobOutcome& outcome) override;
  void OnClaimLost(const std::string& job, const std::string& holder, core::TimePoint now) override;
  void OnClaimExpired(const std::string& job, core::TimePoint now) override;
  void OnAwaitedElsewhere(const std::string& job, const std::string& entry,
                          core::TimePoint deadline, core::TimePoint now) override;

  // Gives up the jobs that other entries may coordinate now: all if this process has stood still,
  // otherwise those whose claims no other entry has confirmed lately. Must be called before
  // anything else in each event that places or continues runs.
  void GiveUpLapsedJobs(core::TimePoint now);

  std::optional<RuntimeError> OpenServers();
  void OnRequest(const http::Request& request);
  // `job`: empty if the call is about the route's queue.
  void OnQueueCall(const http::Request& request, const direct::Route& route,
                   const std::string& job);
  // Answers a call about the state of a job, or for its cancellation, whether or not its queue is
  // still there. Returns false, without an answer, if the method is that of no such call.
  bool OnJobCall(const http::Request& request, const std::string& job);
  void CancelJob(const http::Request& request, const std::string& job);
  void Submit(const http::Request& request, const direct::Route& route, const std::string& job);
  // Refuses a new job that this entry is too slow to answer. Returns whether it has.
  bool RefuseByLoad(const http::Request& request, const direct::JobRequest& job,
                    core::TimePoint now);
  void OnInputEnded(std::uint64_t request);
  void OnAbandoned(std::uint64_t request);
  void OnReadinessProbe(const http::Request& request);
  bool ready(core::TimePoint now);
  // Whether this process may act on its view of the operator's records.
  bool ViewSettled(core::TimePoint now);
  // For logs; "none" before the first configuration.
  std::string ConfigurationVersion() const;
  // For logs; milliseconds since the configuration was last confirmed, "none"
  // before the first one.
  std::string ConfigurationAge() const;
  void LogRunEvent(std::string_view event, const std::string& agent, const direct::RunId& id);

  // EntryLinksListener
  void OnAgentConnected(const direct::AgentHello& hello, core::TimePoint now) override;
  void OnAgentFrame(const std::string& agent, const direct_wire::Frame& frame,
                    core::TimePoint now) override;
  void OnAgentLost(const std::string& agent, core::TimePoint last_heard) override;
  void OnPeerConnected(const std::string& entry, bool records_claims, direct_wire::Frame& frame,
                       core::TimePoint now) override;
  void OnPeerStamp(const std::string& entry, direct_wire::Frame& frame) override;
  void OnPeerLost(const std::string& entry, core::TimePoint now) override;
  void OnEntryForgotten(const std::string& entry) override;
  void OnPeerFrame(const std::string& entry, const direct_wire::Frame& frame,
                   core::TimePoint now) override;
  void OnPeerCrashingRoute(const direct_wire::CrashingRoute& message, core::TimePoint now) override;
  void OnPeerCancel(const std::string& job, core::TimePoint now) override;
  void OnPeerConfiguration(const std::string& entry, const direct_wire::Configuration& message,
                           core::TimePoint now) override;

  void SendViewToPeers();
  void SendEvacuationToAgents();
  void OnViewChanged(const std::string& source);
  void OnStoreSnapshot(const platform::StoreClient::Batch& batch, core::TimePoint complete_at);
  void OnStoreRecords(const platform::StoreClient::Batch& batch, core::TimePoint complete_at);
  std::vector<direct::OperatorRecord> DecodeRecords(const platform::StoreClient::Batch& batch);
  void FollowStore();
  void Announce();
  void OnEntryRecord(const std::string& name, const std::string& value);
  // Removes the records of entries that nobody reaches from the store.
  void WithdrawStaleRecords(core::TimePoint now);
  void SetGauges(core::TimePoint now);
  void Tick();

  Settings settings_;
  Logger& logger_;
  Metrics& metrics_;
  ClientMemory client_memory_;
  MetricsServer metrics_server_;
  direct::JobDispatcher dispatcher_;
  direct::EntryLoad load_;
  direct::OperatorView view_;
  direct::InitialView initial_view_;
  // Whether `view_` was settled at the last call of ViewSettled().
  bool view_was_settled_ = false;
  std::unique_ptr<http::Server> caller_server_;
  std::unique_ptr<http::Server> readiness_server_;
  EntryLinks links_;
  ClaimExchange claim_exchange_;
  // Of `claim_exchange_`.
  direct::JobClaims& claims_;
  std::unique_ptr<platform::StoreClient> store_;
  std::unique_ptr<TopicFollower> operator_topic_;
  std::unique_ptr<TopicFollower> entry_topic_;
  direct::StaleRecords stale_records_;
  std::map<std::string, Submission> submissions_;
  std::map<std::uint64_t, std::string> jobs_by_request_;
  QTimer tick_;
  GracefulStop stop_;
  core::TimePoint gauges_due_;
  // When this process last did anything.
  std::optional<core::TimePoint> last_active_;
  bool stopping_ = false;
  // This entry's address is in the store, or is being appended to it.
  bool announced_ = false;
};

}  // namespace coltsfoottide::daemon
