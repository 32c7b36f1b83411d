#pragma once

#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {
struct AgentHello;
}  // namespace coltsfoottide::direct

namespace coltsfoottide::direct_wire {
class Configuration;
class Frame;
}  // namespace coltsfoottide::direct_wire

namespace coltsfoottide::daemon {

// Hears what arrives at a direct entry from agents and other entries.
class EntryLinksListener {
 public:
  virtual ~EntryLinksListener() = default;

  virtual void OnAgentConnected(const direct::AgentHello& hello, core::TimePoint now) = 0;
  virtual void OnAgentFrame(const std::string& agent, const direct_wire::Frame& frame,
                            core::TimePoint now) = 0;
  // Closed, or silent since `last_heard`.
  virtual void OnAgentLost(const std::string& agent, core::TimePoint last_heard) = 0;
  // Another entry tells its configuration.
  virtual void OnPeerConfiguration(const std::string& entry,
                                   const direct_wire::Configuration& configuration,
                                   core::TimePoint now) = 0;
};

}  // namespace coltsfoottide::daemon
