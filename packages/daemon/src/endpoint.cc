#include "coltsfoottide/daemon/endpoint.h"

#include <QHostAddress>
#include <QString>
#include <charconv>

namespace coltsfoottide::daemon {

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  Endpoint endpoint{text.substr(0, colon), 0};
  const char* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
  QHostAddress address;
  if (ec != std::errc() || it != end ||
      !address.setAddress(QString::fromStdString(endpoint.address))) {
    return std::nullopt;
  }
  return endpoint;
}

}  // namespace coltsfoottide::daemon
