#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace coltsfoottide::daemon {

// An IP address (IPv6 without brackets) and a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
};

// Parses "IPv4:port" or "[IPv6]:port"; returns nothing if it is not valid.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace coltsfoottide::daemon
