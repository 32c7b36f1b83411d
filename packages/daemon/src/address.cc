#include "address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace coltsfoottide::daemon {

namespace {

constexpr char kScheme[] = "http://";

bool IsIpNumber(const std::string& text) {
  in6_addr buf{};
  const bool bracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
  if (bracketed) return inet_pton(AF_INET6, text.substr(1, text.size() - 2).c_str(), &buf) == 1;
  return inet_pton(AF_INET, text.c_str(), &buf) == 1;
}

bool IsPort(const std::string& text, bool allow_any) {
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, port);
  return ec == std::errc() && rest == end && (port != 0 || allow_any);
}

}  // namespace

bool IsAddress(const std::string& text, bool allow_any_port) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  return IsIpNumber(text.substr(0, colon)) && IsPort(text.substr(colon + 1), allow_any_port);
}

bool IsBaseUrl(const std::string& text) {
  const std::string scheme = kScheme;
  return text.starts_with(scheme) && IsAddress(text.substr(scheme.size()), false);
}

}  // namespace coltsfoottide::daemon
