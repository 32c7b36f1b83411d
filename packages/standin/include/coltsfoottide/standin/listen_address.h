#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace coltsfoottide::standin {

// An IP address and a port, as given to --listen.
struct ListenAddress {
  std::string ip;
  std::uint16_t port = 0;
};

// Parses "IP:PORT"; returns nothing if the text has another form.
std::optional<ListenAddress> ParseListenAddress(const std::string& text);

// Prints {"listening":"IP:PORT"} as one line on standard output, so that
// the parent process can read the port chosen for port 0.
void PrintListening(const std::string& ip, std::uint16_t port);

}  // namespace coltsfoottide::standin
