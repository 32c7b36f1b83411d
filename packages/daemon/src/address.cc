#include "address.h"

#include "coltsfoottide/daemon/endpoint.h"

namespace coltsfoottide::daemon {

namespace {

constexpr char kScheme[] = "http://";

}  // namespace

bool IsEndpoint(const std::string& text, bool allow_port_0) {
  const auto endpoint = ParseEndpoint(text);
  return endpoint && (endpoint->port != 0 || allow_port_0);
}

bool IsBaseUrl(const std::string& text) {
  const std::string scheme = kScheme;
  return text.starts_with(scheme) && IsEndpoint(text.substr(scheme.size()), false);
}

}  // namespace coltsfoottide::daemon
