#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/daemon/endpoint.h"
#include "coltsfoottide/daemon/runtime.h"
#include "coltsfoottide/direct/connection_order.h"
#include "coltsfoottide/direct/dial_backoff.h"
#include "coltsfoottide/direct/entry_directory.h"
#include "coltsfoottide/schema/direct.pb.h"
#include "frame_connection.h"
#include "frame_listener.h"

namespace coltsfoottide::daemon {

class EntryLinksListener;
class Logger;

// The connections of a direct entry to agents and other entries. Agents dial
// entries; an entry dials the entries with a lower address. Connections on
// which nothing arrives are replaced.
class EntryLinks {
 public:
  // `incarnation` distinguishes this process from earlier ones.
  EntryLinks(std::uint64_t incarnation, std::string data_centre, EntryLinksListener& listener,
             Logger& logger);

  // Listens at `listen`; other processes connect to `advertised`.
  std::optional<RuntimeError> Open(const Endpoint& listen, const Endpoint& advertised);

  // Advertised IP address, by which other processes identify this entry.
  const std::string& name() const { return name_; }

  // Adds an entry of the settings, by its IP address. An empty name is ignored.
  void AddConfiguredEntry(const std::string& name);

  // Adds an entry that a record in the store names.
  void AddEntryHint(const std::string& name);

  // Sends the configuration to all other entries, and to those that connect
  // later.
  void BroadcastConfiguration(const direct_wire::Configuration& configuration);

  // Tells all agents which data centres are evacuated, if that has changed, and those that
  // connect later.
  void BroadcastEvacuation(const direct_wire::Evacuation& evacuation);

  // Tells all connected entries of the route.
  void BroadcastCrashingRoute(const direct_wire::CrashingRoute& message);

  // Tells all connected entries that a caller has cancelled the job.
  void BroadcastCancel(const std::string& job);

  // The frame that is sent to the agent at the end of this iteration of the
  // event loop; null if the agent is not connected.
  direct_wire::Frame* FrameTo(const std::string& agent);

  // The frame that is sent to the other entry at the end of this iteration of the event loop;
  // null if the entry is not connected.
  direct_wire::Frame* FrameToEntry(const std::string& entry);

  // Replaces silent connections and dials entries. `has_runs` tells whether an
  // agent has runs, in which case a shorter limit for silence applies.
  void Advance(const std::function<bool(const std::string& agent)>& has_runs, core::TimePoint now);

  // Names of the entries that are connected.
  std::vector<std::string> ConnectedEntries() const;
  std::size_t connected_agents() const { return agents_.size(); }
  std::size_t known_entries() const { return entries_.size(); }
  // Whether every known entry is connected.
  bool all_entries_connected() const { return peers_.size() >= entries_.size(); }
  std::size_t links() const { return links_.size(); }

 private:
  // A connection to an agent or another entry.
  struct Link {
    std::unique_ptr<FrameConnection> connection;
    // IP address; empty before the hello unless this entry dialed.
    std::string name;
    bool is_agent = false;
    // The peer has said hello.
    bool introduced = false;
    // Opened by this entry.
    bool dialed = false;
    core::TimePoint last_heard;
    // To another entry: when the next stamp is sent, so that the connection is
    // not silent.
    core::TimePoint stamp_due;
    // From an agent: the latest stamp if it has not been echoed yet, otherwise 0.
    std::uint64_t unechoed_stamp_us = 0;
    core::TimePoint echoed_at;
  };

  void Accept(qintptr descriptor);
  void DialPeers(core::TimePoint now);
  // How long an attempt to connect to the entry may take.
  core::Duration AttemptLimit(const std::string& peer) const;
  void CloseSilent(const std::function<bool(const std::string&)>& has_runs, core::TimePoint now);
  void SendStamps(core::TimePoint now);
  // Sends the echoes that no other message to the agent has carried.
  void SendEchoes(const std::function<bool(const std::string&)>& has_runs, core::TimePoint now);
  // Adds the echo of the latest stamp to the frame that is sent next.
  void WriteEcho(Link& link);
  Link& AddLink(std::uint64_t id);
  FrameConnection::Events LinkEvents(std::uint64_t id);
  void SendHello(Link& link);
  // Sends the list of connected entries to all after it has changed.
  void SendChangedEntries(core::TimePoint now);
  void WriteEntries(Link& link);
  void LogKnown(std::string_view source, const std::string& name);
  void SendConfiguration(Link& link);
  void SendEvacuation(Link& link);
  void OnFrame(std::uint64_t id, const direct_wire::Frame& frame);
  // `frame` holds the hello.
  void OnHello(std::uint64_t id, const direct_wire::Frame& frame);
  void OnAgentHello(Link& link, const direct_wire::Frame& frame);
  void OnEntryList(const std::string& peer, const direct_wire::EntryList& list,
                   core::TimePoint now);
  void OnClosed(std::uint64_t id, const std::string& reason);

  const std::uint64_t incarnation_;
  EntryLinksListener& listener_;
  Logger& logger_;
  FrameListener frame_listener_;
  std::string name_;
  std::uint16_t port_ = 0;
  std::map<std::uint64_t, Link> links_;
  // Closed connections, destroyed by the next Advance.
  std::vector<std::unique_ptr<FrameConnection>> closed_;
  // Link id by the name of the agent.
  std::map<std::string, std::uint64_t> agents_;
  // The latest introduced link by the name of the other entry.
  std::map<std::string, std::uint64_t> peers_;
  direct::ConnectionOrder agent_connections_;
  direct::EntryDirectory entries_;
  const std::string data_centre_;
  // Whether the list of connected entries differs from the last one sent.
  bool entries_changed_ = false;
  core::TimePoint entries_due_;
  // Attempts to connect to entries that have not said hello since, by name.
  std::map<std::string, direct::DialBackoff> dials_;
  std::uint64_t last_link_ = 0;
  std::optional<direct_wire::Configuration> configuration_;
  std::optional<direct_wire::Evacuation> evacuation_;
};

}  // namespace coltsfoottide::daemon
