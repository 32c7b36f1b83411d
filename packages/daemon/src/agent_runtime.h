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
#include "coltsfoottide/daemon/runtime_parts.h"
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

// One agent process: the coordinator and the worker beside one backend
// server.
class AgentRuntime : public Runtime {
 public:
  AgentRuntime(Settings settings, RuntimeParts parts, Logger& logger, Metrics& metrics);
  ~AgentRuntime() override;

  std::optional<RuntimeError> Start() override;
  void BeginStop(std::function<void()> stopped) override;

 private:
  // Candidates that one entry has told.
  struct EntryView {
    std::uint64_t incarnation = 0;
    std::uint64_t directory_version = 0;
    std::vector<api::WorkerInfo> candidates;
    bool ejected = false;
    core::TimePoint heard;
    // When the connection to the entry was last replaced.
    core::TimePoint reset;
  };
  struct LoadSample {
    core::TimePoint time;
    std::uint64_t starts = 0;
    std::uint64_t failures = 0;
  };

  std::optional<RuntimeError> OpenLinks();
  std::optional<RuntimeError> OpenHttp();
  void MakeBackend();
  void MakeDispatch();
  void OnWire(const std::string& buf, core::TimePoint now);
  // Logs what concerns a job, at level debug.
  void LogJobMessage(const wire::Envelope& envelope);
  void OnRenewed(const wire::Envelope& envelope, core::TimePoint now);
  void OnHealth(BackendHealth health, core::TimePoint now);
  void OnBackendDone(const wire::TaskId& task, core::BackendOutcome outcome,
                     const std::string& output, core::TimePoint now);
  void OnConfig(const wire::ConfigStateData& state);
  void Tick(core::TimePoint now);
  core::TimePoint NextWake() const;
  void Renew(core::TimePoint now);
  void UpdateCandidates(core::TimePoint now);
  void UpdateEjected(core::TimePoint now);
  void PublishMetrics(core::TimePoint now);
  void FinishStopWhenIdle(core::TimePoint now);
  api::WorkerInfo Info(core::TimePoint now) const;
  void OnHttp(const http::Request& request);

  Settings settings_;
  RuntimeParts parts_;
  Logger& logger_;
  Metrics& metrics_;
  std::uint64_t incarnation_;
  // Where other processes reach this one.
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
  std::map<std::string, EntryView> entries_;
  std::deque<LoadSample> samples_;
  core::TimePoint next_renew_;
  core::TimePoint next_health_;
  core::TimePoint next_metrics_;
  core::TimePoint lease_end_ = core::TimePoint::max();
  bool backend_serving_ = false;
  bool permitted_ = false;
  bool leaving_ = false;
  core::TimePoint stop_deadline_;
  core::TimePoint idle_since_ = core::TimePoint::max();
  std::function<void()> stopped_;
  std::atomic<bool> healthy_ = false;
};

}  // namespace coltsfoottide::daemon
