#include "address.h"

#include "coltsfoottide/daemon/endpoint.h"

namespace coltsfoottide::daemon {

namespace {

constexpr char kScheme[] = "http://";

}  // namespace

bool IsAddress(const std::string& text, bool allow_any_port) {
  const auto endpoint = ParseEndpoint(text);
  return endpoint && (endpoint->port != 0 || allow_any_port);
}

bool IsBaseUrl(const std::string& text) {
  const std::string scheme = kScheme;
  return text.starts_with(scheme) && IsAddress(text.substr(scheme.size()), false);
}

}  // namespace coltsfoottide::daemon
