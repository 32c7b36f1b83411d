#pragma once

#include <string>

namespace coltsfoottide::direct {

// Whether the text is an IPv4 address in dotted decimal form, by which entries are known.
bool IsIpv4Address(const std::string& text);

}  // namespace coltsfoottide::direct
