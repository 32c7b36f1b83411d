#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace coltsfoottide::daemon {

// An IP number and a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
};

// Parses "IP:port"; nothing when it is not valid.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace coltsfoottide::daemon
