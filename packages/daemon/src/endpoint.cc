#include "coltsfoottide/daemon/endpoint.h"

#include <arpa/inet.h>

#include <charconv>
#include <utility>

namespace coltsfoottide::daemon {
namespace {

// Returns the IP address without the brackets of IPv6, or nothing if the text is
// not one.
std::optional<std::string> ParseIpAddress(const std::string& text) {
  in6_addr buf{};
  const bool bracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
  std::string address = bracketed ? text.substr(1, text.size() - 2) : text;
  if (inet_pton(bracketed ? AF_INET6 : AF_INET, address.c_str(), &buf) != 1) {
    return std::nullopt;
  }
  return address;
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  auto address = ParseIpAddress(text.substr(0, colon));
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, port);
  if (!address || ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return Endpoint{std::move(*address), port};
}

}  // namespace coltsfoottide::daemon
