#pragma once

#include <QTcpServer>
#include <QTimer>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coltsfoottide/daemon/runtime.h"
#include "coltsfoottide/daemon/settings.h"
#include "coltsfoottide/direct/entry_sink.h"
#include "coltsfoottide/direct/job_dispatcher.h"
#include "coltsfoottide/direct/operator_view.h"
#include "coltsfoottide/http/server.h"
#include "coltsfoottide/platform/store_client.h"
#include "frame_connection.h"
#include "frame_listener.h"
#include "metrics_server.h"
#include "topic_follower.h"

namespace coltsfoottide::daemon {

class Logger;
class Metrics;

// An entry for jobs that are not stored: takes them from callers, coordinates
// them on agents, and follows the operator's records. One thread.
class DirectEntryRuntime : public Runtime, private direct::EntrySink {
 public:
  DirectEntryRuntime(const Settings& settings, Logger& logger, Metrics& metrics);
  ~DirectEntryRuntime() override;

  std::optional<RuntimeError> Start() override;
  void Reload(const Settings& settings) override;
  void BeginStop(std::function<void()> stopped) override;

 private:
  // A connection to an agent or another entry.
  struct Link {
    std::unique_ptr<FrameConnection> connection;
    // IP number; empty before the hello.
    std::string name;
    bool is_agent = false;
    // Opened by this entry.
    bool dialed = false;
    core::TimePoint last_heard;
    // Next frame that another entry has to confirm.
    core::TimePoint next_stamp;
  };
  struct Submission {
    std::vector<std::uint64_t> requests;
    std::string route;
    core::TimePoint submitted;
  };

  // EntrySink
  void Answer(const std::string& job, const direct::JobOutcome& outcome) override;
  void SendOrder(const std::string& agent, const direct::RunOrder& order) override;
  void OnPlaced(const std::string& job, const std::vector<direct::PlacedTask>& placed,
                core::TimePoint now) override;
  void SendStop(const std::string& agent, const direct::RunId& id) override;
  void SendWithdraw(const std::string& agent, const direct::RunId& id) override;
  void SendExpedite(const std::string& agent, const direct::RunId& id) override;
  void SendClaim(const std::string& agent, const direct::RunId& id) override;

  std::optional<RuntimeError> OpenServers();
  void OnRequest(const http::Request& request);
  void OnJobCall(const http::Request& request, const direct::Route& route, const std::string& job);
  void Submit(const http::Request& request, const direct::Route& route, const std::string& job);
  void OnAbandoned(std::uint64_t request);
  void OnProbe(const http::Request& request);
  bool ready() const;
  // For logs; "none" without a configuration.
  std::string ConfigurationVersion() const;
  void LogRecall(std::string_view event, const std::string& agent, const direct::RunId& id);

  void Accept(qintptr descriptor);
  void DialPeers();
  Link& AddLink(std::uint64_t id);
  FrameConnection::Events LinkEvents(std::uint64_t id);
  void SendHello(Link& link);
  void OnFrame(std::uint64_t id, const direct_wire::Frame& frame);
  void OnHello(std::uint64_t id, const direct_wire::Hello& hello);
  void OnLinkClosed(std::uint64_t id, const std::string& reason);
  Link* FindAgent(const std::string& agent);
  void LearnEntry(const std::string& name);
  void TellEntries(Link& link);
  void TellConfiguration(Link& link);
  void OnViewChanged(const std::string& source);
  void FollowStore();
  void Announce();
  void SetGauges(core::TimePoint now);
  void Tick();
  void EndStop();

  Settings settings_;
  Logger& logger_;
  Metrics& metrics_;
  MetricsServer metrics_server_;
  std::string name_;
  std::uint16_t link_port_ = 0;
  std::uint64_t incarnation_ = 0;
  direct::JobDispatcher dispatcher_;
  direct::OperatorView view_;
  std::unique_ptr<http::Server> callers_;
  std::unique_ptr<http::Server> probes_;
  FrameListener listener_;
  std::unique_ptr<platform::StoreClient> store_;
  std::unique_ptr<TopicFollower> operator_topic_;
  std::unique_ptr<TopicFollower> entry_topic_;
  std::map<std::uint64_t, Link> links_;
  // Connections that have closed in this turn of the event loop.
  std::vector<std::unique_ptr<FrameConnection>> closed_;
  // Links by the name of the agent.
  std::map<std::string, std::uint64_t> agents_;
  std::set<std::string> entries_;
  // Next time at which another entry is called.
  std::map<std::string, core::TimePoint> dial_due_;
  std::map<std::string, Submission> submissions_;
  std::map<std::uint64_t, std::string> jobs_by_request_;
  std::uint64_t last_link_ = 0;
  QTimer tick_;
  std::function<void()> stopped_;
  core::TimePoint gauges_due_;
  bool stopping_ = false;
  std::chrono::milliseconds stop_waited_{0};
  bool announced_ = false;
};

}  // namespace coltsfoottide::daemon
