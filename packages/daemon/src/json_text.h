#pragma once

#include <string>
#include <string_view>

namespace coltsfoottide::daemon {

// The text as a JSON string with quotes. Control characters are escaped;
// bytes that are not valid UTF-8 become U+FFFD, so that a line stays valid
// JSON whatever a caller sent.
std::string QuoteJson(std::string_view text);

}  // namespace coltsfoottide::daemon
