#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coltsfoottide/core/backend_port.h"
#include "coltsfoottide/core/config_state.h"
#include "coltsfoottide/core/start_permission.h"
#include "coltsfoottide/core/time.h"
#include "coltsfoottide/daemon/runtime.h"
#include "coltsfoottide/daemon/runtime_hooks.h"
#include "coltsfoottide/daemon/settings.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {
class Coordinator;
class Outbox;
class Worker;
}  // namespace coltsfoottide::core

namespace coltsfoottide::http {
class Server;
struct Request;
}  // namespace coltsfoottide::http

namespace coltsfoottide::link {
class LinkHub;
}  // namespace coltsfoottide::link

namespace coltsfoottide::daemon {

class BackendClient;
class Engine;
class HubOutbox;
class Logger;
class Metrics;
struct BackendHealth;

// One agent process: runs a coordinator, and the worker of one backend server.
// Decisions are made on the engine's thread; HTTP runs on the Qt thread.
class AgentRuntime : public Runtime {
 public:
  AgentRuntime(Settings settings, RuntimeHooks hooks, Logger& logger, Metrics& metrics);
  ~AgentRuntime() override;

  std::optional<RuntimeError> Start() override;
  void BeginStop(std::function<void()> on_stopped) override;

 private:
  // What one entry has sent in its replies to renewals.
  struct KnownEntry {
    std::uint64_t incarnation = 0;
    std::uint64_t directory_version = 0;
    std::vector<api::WorkerInfo> candidates;
    bool ejected = false;
    core::TimePoint last_heard;
    // When the connection to the entry was last replaced.
    core::TimePoint last_reset;
  };
  // Worker counters at one renewal, for the counts of recent starts and failures.
  struct StartSample {
    core::TimePoint time;
    std::uint64_t starts = 0;
    std::uint64_t failures = 0;
  };

  std::optional<RuntimeError> OpenLinks();
  std::optional<RuntimeError> OpenHttp();
  void MakeBackend();
  void MakeWorkerAndCoordinator();
  void OnLinkMessage(const std::string& buf, core::TimePoint now);
  // Logs messages about jobs, at level debug.
  void LogJobMessage(const wire::Envelope& envelope);
  void OnRenewed(const wire::Envelope& envelope, core::TimePoint now);
  void OnHealth(BackendHealth health, core::TimePoint now);
  void OnBackendDone(const wire::TaskId& task, core::BackendOutcome outcome,
                     const std::string& output, core::TimePoint now);
  void OnConfig(const wire::ConfigStateData& state);
  void Tick(core::TimePoint now);
  core::TimePoint NextWake() const;
  void SendRenewals(core::TimePoint now);
  void UpdateCandidates(core::TimePoint now);
  void UpdateEjected(core::TimePoint now);
  void PublishMetrics(core::TimePoint now);
  void FinishStopWhenIdle(core::TimePoint now);
  api::WorkerInfo MakeWorkerInfo(core::TimePoint now) const;
  void OnHttp(const http::Request& request);

  Settings settings_;
  RuntimeHooks hooks_;
  Logger& logger_;
  Metrics& metrics_;
  std::uint64_t incarnation_;
  // Link endpoint at which other processes reach this one.
  std::string endpoint_;
  core::StartPermission permission_;
  core::ConfigState config_;
  std::unique_ptr<link::LinkHub> hub_;
  std::unique_ptr<HubOutbox> hub_outbox_;
  std::unique_ptr<core::Outbox> wrapped_outbox_;
  core::Outbox* outbox_ = nullptr;
  std::unique_ptr<BackendClient> backend_;
  std::unique_ptr<core::BackendPort> wrapped_backend_;
  std::unique_ptr<core::Worker> worker_;
  std::unique_ptr<core::Coordinator> coordinator_;
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<Engine> engine_;
  std::map<std::string, KnownEntry> entries_;
  std::deque<StartSample> start_samples_;
  core::TimePoint next_renew_;
  core::TimePoint next_health_;
  core::TimePoint next_metrics_;
  // End of the backend server's lease, from the last health check.
  core::TimePoint lease_end_ = core::TimePoint::max();
  bool backend_serving_ = false;
  bool starts_permitted_ = false;
  bool leaving_ = false;
  core::TimePoint stop_deadline_;
  // Since when a stopping agent has had no work; max() while it has some.
  core::TimePoint idle_since_ = core::TimePoint::max();
  std::function<void()> on_stopped_;
  std::atomic<bool> healthy_ = false;
};

}  // namespace coltsfoottide::daemon
