#include "coltsfoottide/direct/ipv4_address.h"

#include <arpa/inet.h>

namespace coltsfoottide::direct {

bool IsIpv4Address(const std::string& text) {
  // inet_pton stops at a zero byte.
  if (text.find('\0') != std::string::npos) return false;
  in_addr buf{};
  return inet_pton(AF_INET, text.c_str(), &buf) == 1;
}

}  // namespace coltsfoottide::direct
