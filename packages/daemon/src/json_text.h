#pragma once

#include <string>
#include <string_view>

namespace coltsfoottide::daemon {

// Returns the text as a JSON string with quotes. Control characters are escaped
// and bytes that are not valid UTF-8 become U+FFFD, so that a log line is valid
// JSON whatever bytes a caller sends.
std::string QuoteJson(std::string_view text);

// Appends what QuoteJson returns.
void AppendQuotedJson(std::string_view text, std::string& out);

}  // namespace coltsfoottide::daemon
