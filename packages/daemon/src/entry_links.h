#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/daemon/endpoint.h"
#include "coltsfoottide/daemon/runtime.h"
#include "coltsfoottide/schema/direct.pb.h"
#include "frame_connection.h"
#include "frame_listener.h"

namespace coltsfoottide::daemon {

class EntryLinksListener;
class Logger;

// The connections of a direct entry to agents and other entries. Agents dial
// every entry; entries dial those with a lower address. Silent connections are
// replaced.
class EntryLinks {
 public:
  // `incarnation` distinguishes this process from earlier ones.
  EntryLinks(std::uint64_t incarnation, EntryLinksListener& listener, Logger& logger);

  // Listens at the first address; others reach it at the second.
  std::optional<RuntimeError> Open(const Endpoint& listen, const Endpoint& reached);

  // IP number by which others know this entry.
  const std::string& name() const { return name_; }

  // Another entry is to be kept connected. An empty name is ignored.
  void LearnEntry(const std::string& name);

  // Tells other entries, also those that connect later.
  void TellConfiguration(const direct_wire::Configuration& configuration);

  // What leaves for the agent in this turn of the event loop; null when it is
  // not connected.
  direct_wire::Frame* FrameTo(const std::string& agent);

  // Replaces silent connections and dials entries. `busy` tells whether runs
  // are at an agent, whose silence matters sooner.
  void Advance(const std::function<bool(const std::string& agent)>& busy, core::TimePoint now);

  std::size_t connected_agents() const { return agents_.size(); }
  std::size_t known_entries() const { return entries_.size(); }

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

  void Accept(qintptr descriptor);
  void DialPeers(core::TimePoint now);
  void CloseSilent(const std::function<bool(const std::string&)>& busy, core::TimePoint now);
  void StampPeers(core::TimePoint now);
  Link& AddLink(std::uint64_t id);
  FrameConnection::Events LinkEvents(std::uint64_t id);
  void SendHello(Link& link);
  void TellEntries(Link& link);
  void TellConfiguration(Link& link);
  void OnFrame(std::uint64_t id, const direct_wire::Frame& frame);
  void OnHello(std::uint64_t id, const direct_wire::Hello& hello);
  void OnClosed(std::uint64_t id, const std::string& reason);

  const std::uint64_t incarnation_;
  EntryLinksListener& listener_;
  Logger& logger_;
  FrameListener accepting_;
  std::string name_;
  std::uint16_t port_ = 0;
  std::map<std::uint64_t, Link> links_;
  // Connections that have closed in this turn of the event loop.
  std::vector<std::unique_ptr<FrameConnection>> closed_;
  // Links by the name of the agent.
  std::map<std::string, std::uint64_t> agents_;
  std::set<std::string> entries_;
  // Next time at which another entry is called.
  std::map<std::string, core::TimePoint> dial_due_;
  std::uint64_t last_link_ = 0;
  std::optional<direct_wire::Configuration> configuration_;
};

}  // namespace coltsfoottide::daemon
