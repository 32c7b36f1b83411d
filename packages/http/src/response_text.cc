#include "response_text.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace coltsfoottide::http {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kInternalError = 500;

struct StatusText {
  int status;
  const char* text;
};

constexpr std::array kStatusTexts = {
    StatusText{200, "OK"},
    StatusText{202, "Accepted"},
    StatusText{204, "No Content"},
    StatusText{304, "Not Modified"},
    StatusText{400, "Bad Request"},
    StatusText{403, "Forbidden"},
    StatusText{404, "Not Found"},
    StatusText{405, "Method Not Allowed"},
    StatusText{408, "Request Timeout"},
    StatusText{409, "Conflict"},
    StatusText{410, "Gone"},
    StatusText{411, "Length Required"},
    StatusText{412, "Precondition Failed"},
    StatusText{413, "Content Too Large"},
    StatusText{415, "Unsupported Media Type"},
    StatusText{422, "Unprocessable Content"},
    StatusText{429, "Too Many Requests"},
    StatusText{431, "Request Header Fields Too Large"},
    StatusText{499, "Client Closed Request"},
    StatusText{500, "Internal Server Error"},
    StatusText{501, "Not Implemented"},
    StatusText{502, "Bad Gateway"},
    StatusText{503, "Service Unavailable"},
    StatusText{504, "Gateway Timeout"},
    StatusText{505, "HTTP Version Not Supported"},
};

const char* TextOf(int status) {
  const auto* const it = std::find_if(kStatusTexts.begin(), kStatusTexts.end(),
                                      [status](const StatusText& t) { return t.status == status; });
  return it == kStatusTexts.end() ? "Status" : it->text;
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c == '\t' || (static_cast<unsigned char>(c) >= 0x20 && c != 0x7f);
  });
}

void AppendField(QByteArray& out, std::string_view name, std::string_view value) {
  if (name.empty() || !IsPrintable(name) || !IsPrintable(value)) return;
  out.append(name.data(), static_cast<qsizetype>(name.size())).append(": ");
  out.append(value.data(), static_cast<qsizetype>(value.size())).append("\r\n");
}

}  // namespace

QByteArray FormatResponse(const Response& response, bool keep_alive, bool with_body) {
  const bool valid = response.status >= 200 && response.status <= 599;
  const int status = valid ? response.status : kInternalError;
  const bool bodyless = status == kNoContent || status == kNotModified;
  QByteArray out;
  out.reserve(static_cast<qsizetype>(response.body.size()) + 256);
  out.append("HTTP/1.1 ").append(QByteArray::number(status)).append(' ');
  out.append(TextOf(status)).append("\r\n");
  if (!bodyless) {
    AppendField(out, "Content-Type", response.content_type);
    AppendField(out, "Content-Length", std::to_string(response.body.size()));
  }
  for (const auto& [name, value] : response.headers) AppendField(out, name, value);
  out.append(keep_alive ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n");
  if (with_body && !bodyless) {
    out.append(response.body.data(), static_cast<qsizetype>(response.body.size()));
  }
  return out;
}

}  // namespace coltsfoottide::http
