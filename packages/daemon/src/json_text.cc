#include "json_text.h"

#include <algorithm>
#include <cstddef>

namespace coltsfoottide::daemon {

namespace {

constexpr std::string_view kReplacement = "\xEF\xBF\xBD";

unsigned char ByteAt(std::string_view text, std::size_t i) {
  return i < text.size() ? static_cast<unsigned char>(text[i]) : 0;
}

bool IsContinuation(unsigned char c) { return (c & 0xC0U) == 0x80U; }

// Length of the well-formed UTF-8 sequence at `i`, or 0 (RFC 3629 section 4).
std::size_t SequenceLength(std::string_view text, std::size_t i) {
  const unsigned char a = ByteAt(text, i);
  const unsigned char b = ByteAt(text, i + 1);
  if (a < 0x80) return 1;
  if (a < 0xC2 || a > 0xF4 || !IsContinuation(b)) return 0;
  if (a < 0xE0) return 2;
  const bool overlong = (a == 0xE0 && b < 0xA0) || (a == 0xF0 && b < 0x90);
  const bool surrogate = a == 0xED && b > 0x9F;
  const bool too_high = a == 0xF4 && b > 0x8F;
  if (overlong || surrogate || too_high || !IsContinuation(ByteAt(text, i + 2))) return 0;
  if (a < 0xF0) return 3;
  return IsContinuation(ByteAt(text, i + 3)) ? 4 : 0;
}

// Length of the start of the text that needs no escape: printable ASCII but quotes and
// backslashes. Nearly all that is logged.
std::size_t PlainLength(std::string_view text) {
  const auto* const end = std::find_if(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte >= 0x7F || c == '"' || c == '\\';
  });
  return static_cast<std::size_t>(end - text.begin());
}

void AppendAscii(std::string& out, char c) {
  static constexpr char kHex[] = "0123456789abcdef";
  const auto byte = static_cast<unsigned char>(c);
  if (c == '"' || c == '\\') {
    out += '\\';
    out += c;
  } else if (c == '\n') {
    out += "\\n";
  } else if (byte < 0x20 || byte == 0x7F) {
    out += "\\u00";
    out += kHex[byte >> 4U];
    out += kHex[byte & 0xFU];
  } else {
    out += c;
  }
}

}  // namespace

std::string QuoteJson(std::string_view text) {
  std::string out;
  AppendQuotedJson(text, out);
  return out;
}

void AppendQuotedJson(std::string_view text, std::string& out) {
  out += '"';
  for (std::size_t i = 0; i < text.size();) {
    const std::size_t plain = PlainLength(text.substr(i));
    out.append(text, i, plain);
    i += plain;
    if (i == text.size()) break;
    const std::size_t n = SequenceLength(text, i);
    if (n == 0) {
      out += kReplacement;
    } else if (n == 1) {
      AppendAscii(out, text[i]);
    } else {
      out += text.substr(i, n);
    }
    i += n == 0 ? 1 : n;
  }
  out += '"';
}

}  // namespace coltsfoottide::daemon
