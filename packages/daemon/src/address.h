#pragma once

#include <string>

namespace coltsfoottide::daemon {

// Whether the text is an IPv4 address or a bracketed IPv6 address, a colon and
// a port, e.g. "10.0.0.1:7000" or "[::1]:7000". Port 0 lets the system choose.
bool IsEndpoint(const std::string& text, bool allow_port_0);

// Whether the text is "http://" and an endpoint with a port other than 0,
// without a path.
bool IsBaseUrl(const std::string& text);

}  // namespace coltsfoottide::daemon
