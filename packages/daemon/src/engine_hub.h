#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::link {
class LinkHub;
struct LinkError;
}  // namespace coltsfoottide::link

namespace coltsfoottide::wire {
class Envelope;
}  // namespace coltsfoottide::wire

namespace coltsfoottide::daemon {

class Engine;
class Logger;

// Called on the engine's thread.
struct EngineHubCallbacks {
  std::function<void(const std::string& buf, core::TimePoint now)> on_message;
  std::function<void(const std::string& endpoint, core::TimePoint now)> on_down;
};

// Opens a link hub whose callbacks run on the engine's thread. The engine must
// outlive the hub.
std::variant<std::unique_ptr<link::LinkHub>, link::LinkError> MakeEngineHub(
    const std::string& listen, Engine& engine, EngineHubCallbacks callbacks);

// Parses a received message, and replaces the connection to its sender if the
// message asks for that. A message that cannot be parsed is logged and dropped.
std::optional<wire::Envelope> ReadEnvelope(const std::string& buf, link::LinkHub& hub,
                                           Logger& logger);

}  // namespace coltsfoottide::daemon
