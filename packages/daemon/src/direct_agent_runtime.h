#pragma once

#include <QTimer>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "client_memory.h"
#include "coltsfoottide/daemon/runtime.h"
#include "coltsfoottide/daemon/settings.h"
#include "coltsfoottide/direct/dial_backoff.h"
#include "coltsfoottide/direct/entry_directory.h"
#include "coltsfoottide/direct/report_sink.h"
#include "coltsfoottide/direct/run_executor.h"
#include "coltsfoottide/http/server.h"
#include "frame_connection.h"
#include "graceful_stop.h"
#include "metrics_server.h"

namespace coltsfoottide::platform {
class StoreClient;
class WorkerClient;
}  // namespace coltsfoottide::platform

namespace coltsfoottide::daemon {

class Logger;
class Metrics;

// An agent for jobs that are not stored: receives the reports of its backend
// server, connects to every entry, and executes the runs that entries order.
// Runs on the Qt thread only.
class DirectAgentRuntime : public Runtime, private direct::ReportSink {
 public:
  DirectAgentRuntime(const Settings& settings, Logger& logger, Metrics& metrics);
  ~DirectAgentRuntime() override;

  std::optional<RuntimeError> Start() override;
  void Reload(const Settings& settings) override;
  void BeginStop(std::function<void()> on_stopped) override;

 private:
  // Longest interval between attempts to connect to an entry that does not answer.
  static constexpr core::Duration kMaxDialInterval = std::chrono::seconds(1);

  // The connection to one entry.
  struct Link {
    std::unique_ptr<FrameConnection> connection;
    // Identifies the entry's process, "NAME#INCARNATION"; empty before its
    // hello.
    std::string owner;
    direct::DialBackoff dials{kMaxDialInterval};
    // When the agent began to give the connection up for others; the entry then
    // places no further runs here.
    std::optional<core::TimePoint> leaving_since;
    core::TimePoint last_heard;
    core::TimePoint last_state;
    // Orders received on this connection.
    std::uint64_t orders_seen = 0;
    // The entry has said hello on an open connection.
    bool connected() const { return connection && !owner.empty(); }
    // The description last sent on this connection.
    std::optional<direct::WorkerDescription> last_description;
  };

  // ReportSink
  void Report(const std::string& owner, const direct::RunReport& report) override;
  void ReportCrash(const direct::WorkerCrash& crash) override;
  void OnReportRefuted(const direct::WorkerReport& report) override;

  std::optional<RuntimeError> OpenServer();
  void MakeWorkerClient();
  void OnRequest(const http::Request& request);
  void OnWorkerReport(const std::string& id, const std::string& body);
  // Logs the backend server's incarnation and whether it takes work, after each change.
  void LogWorkerState();

  void AddConfiguredEntry(const std::string& name);
  void LogKnown(const std::string& source, const std::string& name);
  void ForgetEntries(core::TimePoint now);
  // Chooses the entries to keep connected to, and gives up the other
  // connections once no run depends on them.
  void UpdateSubset(core::TimePoint now);
  void LeaveOthers(core::TimePoint now);
  void DialEntries(core::TimePoint now);
  void OpenLink(const std::string& name, Link& link, core::TimePoint now);
  void CloseLink(const std::string& name, const std::string& reason);
  void OnFrame(const std::string& name, const direct_wire::Frame& frame);
  void OnHello(const std::string& name, Link& link, const direct_wire::Hello& hello);
  void OnEntryList(const std::string& name, const direct_wire::EntryList& list,
                   core::TimePoint now);
  void OnEvacuation(const direct_wire::Evacuation& message, core::TimePoint now);
  void SendCrash(const direct::WorkerCrash& crash);
  void LogReport(const std::string& owner, const direct::RunReport& report);
  void SendStates(core::TimePoint now);
  void WriteStateTo(Link& link, core::TimePoint now);
  void LogLoad(core::TimePoint now);
  void LookUpEntries(core::TimePoint now);
  void Tick();

  Settings settings_;
  Logger& logger_;
  Metrics& metrics_;
  ClientMemory client_memory_;
  MetricsServer metrics_server_;
  std::string name_;
  std::uint16_t link_port_ = 0;
  std::uint64_t incarnation_ = 0;
  // Number of the latest hello to any entry.
  std::uint64_t last_hello_ = 0;
  std::unique_ptr<platform::WorkerClient> worker_;
  std::unique_ptr<direct::RunExecutor> executor_;
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<platform::StoreClient> store_;
  direct::EntryDirectory entries_;
  // The entries to keep connected to.
  std::set<std::string> subset_;
  core::TimePoint subset_due_;
  // By the entry's IP address.
  std::map<std::string, Link> links_;
  // Closed connections, destroyed by the next tick: the callback that reports
  // the end may still be running in them.
  std::vector<std::unique_ptr<FrameConnection>> closed_;
  core::TimePoint started_;
  core::TimePoint store_lookup_due_;
  core::TimePoint log_due_;
  // As last logged by LogWorkerState().
  direct::WorkerState logged_state_;
  std::string logged_life_;
  QTimer tick_;
  GracefulStop stop_;
  // The worker's state has changed since it was last sent to every entry.
  bool state_changed_ = false;
  bool stopping_ = false;
};

}  // namespace coltsfoottide::daemon
