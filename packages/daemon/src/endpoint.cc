#include "coltsfoottide/daemon/endpoint.h"

#include <arpa/inet.h>

#include <charconv>
#include <utility>

namespace coltsfoottide::daemon {
namespace {

// The IP number without the brackets of IPv6; nothing when it is not one.
std::optional<std::string> ParseIpNumber(const std::string& text) {
  in6_addr buf{};
  const bool bracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
  std::string number = bracketed ? text.substr(1, text.size() - 2) : text;
  if (inet_pton(bracketed ? AF_INET6 : AF_INET, number.c_str(), &buf) != 1) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  auto number = ParseIpNumber(text.substr(0, colon));
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, port);
  if (!number || ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return Endpoint{std::move(*number), port};
}

}  // namespace coltsfoottide::daemon
