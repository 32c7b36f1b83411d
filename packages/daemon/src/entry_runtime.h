#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "coltsfoottide/core/call_sink.h"
#include "coltsfoottide/core/entry_control.h"
#include "coltsfoottide/core/time.h"
#include "coltsfoottide/daemon/api_codec.h"
#include "coltsfoottide/daemon/rcu_cell.h"
#include "coltsfoottide/daemon/runtime.h"
#include "coltsfoottide/daemon/settings.h"

namespace coltsfoottide::core {
class Admission;
class JobRouter;
}  // namespace coltsfoottide::core

namespace coltsfoottide::link {
class LinkHub;
}  // namespace coltsfoottide::link

namespace coltsfoottide::daemon {

class Engine;
class HubOutbox;
class LogClient;
class Logger;
class Metrics;

// Part of the entry's state that the engine publishes and the Qt thread reads
// without locks.
struct PublishedEntryState {
  // At least one configuration record has been read.
  bool configured = false;
  // The evidence that the configuration is up to date has not expired.
  bool fresh = false;
  api::GetConfigResponse config;
  api::ListWorkersResponse workers;
};

// One entry process: answers callers and operators over HTTP, routes jobs to
// coordinators, and keeps the configuration and the directory of workers.
class EntryRuntime : public Runtime, private core::CallSink, private core::ChangeSink {
 public:
  EntryRuntime(Settings settings, Logger& logger, Metrics& metrics);
  ~EntryRuntime() override;

  std::optional<RuntimeError> Start() override;
  void BeginStop(std::function<void()> on_stopped) override;

 private:
  // A call whose response has not been written yet; kept on the Qt thread.
  struct OpenCall {
    BodyFormat format = BodyFormat::kJson;
    core::TimePoint received;
    std::string team;
    api::JobClass job_class = api::JOB_CLASS_UNSPECIFIED;
    // A Submit that waits for the answer; its response time is recorded if it
    // succeeds.
    bool awaits_answer = false;
  };

  // On the Qt thread.
  void OnHttp(const http::Request& request);
  void OnCall(std::uint64_t id, ApiCall call);
  // Answers from the published view; returns false if the engine has to answer.
  bool AnswerFromView(std::uint64_t id, const ApiCall& call);
  // Answers a request that is not valid with its error; returns false if it is
  // valid.
  bool AnswerIfInvalid(std::uint64_t id, const ApiCall& call);
  void Write(std::uint64_t id, const google::protobuf::Message& message, const api::Error* error);
  void WriteProbe(std::uint64_t id, const std::string& path);

  // On the engine's thread.
  void OnLinkMessage(const std::string& buf, core::TimePoint now);
  void Dispatch(std::uint64_t id, const ApiRequest& request, core::TimePoint now);
  void Submit(std::uint64_t id, const api::SubmitRequest& request, core::TimePoint now);
  void OnTickets(std::uint64_t call, const api::ObtainTicketsResponse& response) override;
  void OnJob(std::uint64_t call, const api::JobResponse& response) override;
  void OnJobs(std::uint64_t call, const api::ListJobsResponse& response) override;
  void OnChange(std::uint64_t call, const api::ChangeConfigResponse& response) override;
  void Tick(core::TimePoint now);
  core::TimePoint NextWake() const;
  void Rebalance(core::TimePoint now);
  void PublishView(core::TimePoint now);
  void PublishMetrics();
  void FinishStopWhenIdle(core::TimePoint now);

  Settings settings_;
  Logger& logger_;
  Metrics& metrics_;
  std::uint64_t incarnation_;
  // Link endpoint at which other processes reach this one.
  std::string endpoint_;
  RcuCell<PublishedEntryState> view_;
  std::unique_ptr<link::LinkHub> hub_;
  std::unique_ptr<HubOutbox> outbox_;
  std::unique_ptr<LogClient> log_;
  std::unique_ptr<core::EntryControl> control_;
  std::unique_ptr<core::JobRouter> router_;
  std::unique_ptr<core::Admission> admission_;
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<Engine> engine_;
  std::unordered_map<std::uint64_t, OpenCall> open_calls_;
  std::atomic<std::size_t> open_call_count_ = 0;
  std::uint64_t published_directory_version_ = 0;
  core::TimePoint next_view_;
  core::TimePoint next_rebalance_;
  bool evidence_fresh_ = false;
  bool leaving_ = false;
  core::TimePoint stop_deadline_;
  core::TimePoint stop_earliest_;
  std::function<void()> on_stopped_;
};

}  // namespace coltsfoottide::daemon
