#pragma once

#include <string>

namespace coltsfoottide::daemon {

// Whether the text is an IPv4 number or a bracketed IPv6 number, a colon and
// a port, e.g. "10.0.0.1:7000" or "[::1]:7000". Port 0 means any.
bool IsAddress(const std::string& text, bool allow_any_port);

// Whether the text is "http://" and an address, without a path.
bool IsBaseUrl(const std::string& text);

}  // namespace coltsfoottide::daemon
