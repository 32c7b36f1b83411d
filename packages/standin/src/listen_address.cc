#include "coltsfoottide/standin/listen_address.h"

#include <QHostAddress>
#include <charconv>
#include <iostream>

namespace coltsfoottide::standin {

std::optional<ListenAddress> ParseListenAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  ListenAddress address;
  address.ip = text.substr(0, colon);
  const char* const begin = text.data() + colon + 1;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(begin, end, address.port);
  if (begin == end || parsed.ec != std::errc() || parsed.ptr != end ||
      QHostAddress(QString::fromStdString(address.ip)).isNull()) {
    return std::nullopt;
  }
  return address;
}

void PrintListening(const std::string& ip, std::uint16_t port) {
  std::cout << R"({"listening":")" << ip << ':' << port << "\"}" << std::endl;
}

}  // namespace coltsfoottide::standin
