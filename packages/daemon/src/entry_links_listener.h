#pragma once

#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {
struct AgentHello;
}  // namespace coltsfoottide::direct

namespace coltsfoottide::direct_wire {
class Configuration;
class CrashingRoute;
class Frame;
}  // namespace coltsfoottide::direct_wire

namespace coltsfoottide::daemon {

// Receives from EntryLinks what agents and other entries send to a direct
// entry.
class EntryLinksListener {
 public:
  virtual ~EntryLinksListener() = default;

  virtual void OnAgentConnected(const direct::AgentHello& hello, core::TimePoint now) = 0;
  virtual void OnAgentFrame(const std::string& agent, const direct_wire::Frame& frame,
                            core::TimePoint now) = 0;
  // The connection has closed or was replaced; the last frame arrived at
  // `last_heard`.
  virtual void OnAgentLost(const std::string& agent, core::TimePoint last_heard) = 0;
  // Another entry has connected, or is being connected to, possibly in place of an earlier
  // connection. Adds to `frame` what it should know. `records_claims`: whether it answers
  // claims.
  virtual void OnPeerConnected(const std::string& entry, bool records_claims,
                               direct_wire::Frame& frame, core::TimePoint now) = 0;
  // A stamp is sent to the entry with `frame`. Adds to `frame` what goes with each stamp.
  virtual void OnPeerStamp(const std::string& entry, direct_wire::Frame& frame) = 0;
  // The connection to the entry has closed, or another one replaces it.
  virtual void OnPeerLost(const std::string& entry, core::TimePoint now) = 0;
  // The entry's address is forgotten: nobody reaches it any more.
  virtual void OnEntryForgotten(const std::string& entry) = 0;
  // A frame of an entry that is connected; called before the calls for its parts.
  virtual void OnPeerFrame(const std::string& entry, const direct_wire::Frame& frame,
                           core::TimePoint now) = 0;
  // Another entry has found a task that crashes backend servers, or isolates a route with
  // such tasks.
  virtual void OnPeerCrashingRoute(const direct_wire::CrashingRoute& message,
                                   core::TimePoint now) = 0;
  // A caller has cancelled the job at another entry.
  virtual void OnPeerCancel(const std::string& job, core::TimePoint now) = 0;
  // Another entry has sent its configuration.
  virtual void OnPeerConfiguration(const std::string& entry,
                                   const direct_wire::Configuration& configuration,
                                   core::TimePoint now) = 0;
};

}  // namespace coltsfoottide::daemon
