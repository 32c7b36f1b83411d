#pragma once

#include <QTimer>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/daemon/runtime.h"
#include "coltsfoottide/daemon/settings.h"
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

// An agent for jobs that are not stored: takes its backend server's reports,
// connects to every entry, and runs what they order. One thread.
class DirectAgentRuntime : public Runtime, private direct::ReportSink {
 public:
  DirectAgentRuntime(const Settings& settings, Logger& logger, Metrics& metrics);
  ~DirectAgentRuntime() override;

  std::optional<RuntimeError> Start() override;
  void Reload(const Settings& settings) override;
  void BeginStop(std::function<void()> stopped) override;

 private:
  // The connection to one entry.
  struct Link {
    std::unique_ptr<FrameConnection> connection;
    // Names the entry's process; empty before its hello.
    std::string owner;
    core::TimePoint dial_due;
    core::TimePoint last_heard;
    core::TimePoint last_state;
    std::uint64_t orders_seen = 0;
    // The entry has said hello on an open connection.
    bool connected() const { return connection && !owner.empty(); }
    // What the entry has been told on this connection.
    std::optional<direct::WorkerDescription> described;
  };

  // ReportSink
  void Report(const std::string& owner, const direct::RunReport& report) override;

  std::optional<RuntimeError> OpenServer();
  void MakeWorkerClient();
  void OnRequest(const http::Request& request);
  void OnWorkerReport(const std::string& id, const std::string& body);

  void LearnEntry(const std::string& name);
  void DialEntries(core::TimePoint now);
  void Dial(const std::string& name, Link& link, core::TimePoint now);
  void CloseLink(const std::string& name, const std::string& reason);
  void OnFrame(const std::string& name, const direct_wire::Frame& frame);
  void OnHello(const std::string& name, Link& link, const direct_wire::Hello& hello);
  void LogReport(const std::string& owner, const direct::RunReport& report);
  void SendStates(core::TimePoint now);
  void WriteStateTo(Link& link, core::TimePoint now);
  void LogState(core::TimePoint now);
  void FindEntries(core::TimePoint now);
  void Tick();

  Settings settings_;
  Logger& logger_;
  Metrics& metrics_;
  MetricsServer metrics_server_;
  std::string name_;
  std::uint16_t link_port_ = 0;
  std::uint64_t incarnation_ = 0;
  std::unique_ptr<platform::WorkerClient> worker_;
  std::unique_ptr<direct::RunExecutor> executor_;
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<platform::StoreClient> store_;
  // By the entry's IP number.
  std::map<std::string, Link> links_;
  // Connections that have closed in this turn of the event loop.
  std::vector<std::unique_ptr<FrameConnection>> closed_;
  core::TimePoint started_;
  core::TimePoint store_read_due_;
  core::TimePoint log_due_;
  QTimer tick_;
  GracefulStop stop_;
  // Something that entries should learn has changed.
  bool state_changed_ = false;
  bool stopping_ = false;
};

}  // namespace coltsfoottide::daemon
