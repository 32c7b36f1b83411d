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

// Prints {"listening":"IP:PORT"} as one line on standard output, which tells
// the parent process which port was chosen for port 0.
void PrintListening(const std::string& ip, std::uint16_t port);

}  // namespace coltsfoottide::standin
