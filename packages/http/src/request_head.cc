#include "request_head.h"

#include <QList>
#include <algorithm>
#include <optional>

namespace coltsfoottide::http {

namespace {

constexpr int kBadRequest = 400;
constexpr int kLengthRequired = 411;
constexpr int kNotImplemented = 501;
constexpr int kVersionNotSupported = 505;
// 18 digits fit into 64 bits; a longer number is far over any limit.
constexpr qsizetype kMaxLengthDigits = 18;
constexpr char kLengthField[] = "content-length:";

std::optional<qsizetype> ParseLength(const QByteArray& value) {
  const bool digits =
      std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
  if (value.isEmpty() || value.size() > kMaxLengthDigits || !digits) return std::nullopt;
  return value.toLongLong();
}

bool HasToken(const QByteArray& value, const char* token) {
  const QList<QByteArray> parts = value.toLower().split(',');
  return std::any_of(parts.begin(), parts.end(),
                     [token](const QByteArray& it) { return it.trimmed() == token; });
}

// Returns the refusal status of the request line, or 0.
int ReadRequestLine(const QByteArray& line, RequestHead& head) {
  const QList<QByteArray> parts = line.split(' ');
  if (parts.size() != 3 || parts[0].isEmpty() || parts[1].isEmpty()) return kBadRequest;
  if (!parts[2].startsWith("HTTP/")) return kBadRequest;
  if (parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0") return kVersionNotSupported;
  if (parts[0] == "CONNECT") return kNotImplemented;
  head.method = parts[0];
  head.accepts_interim_responses = parts[2] == "HTTP/1.1";
  head.keep_alive = head.accepts_interim_responses;
  return 0;
}

// Returns the refusal status of one header field, or 0.
int ReadField(const QByteArray& name, const QByteArray& value, RequestHead& head,
              std::optional<qsizetype>& length) {
  if (name == "content-length") {
    const std::optional<qsizetype> n = ParseLength(value);
    if (!n || (length && *length != *n)) return kBadRequest;
    length = n;
  } else if (name == "transfer-encoding") {
    return kLengthRequired;
  } else if (name == "connection") {
    if (HasToken(value, "close")) head.keep_alive = false;
    if (HasToken(value, "keep-alive")) head.keep_alive = true;
  } else if (name == "expect") {
    head.expects_continue = value.toLower() == "100-continue";
  } else if (name == "upgrade" && HasToken(value, "websocket")) {
    return kNotImplemented;
  }
  return 0;
}

}  // namespace

HeadResult ParseRequestHead(const QByteArray& header) {
  HeadResult result;
  const QList<QByteArray> lines = header.split('\n');
  std::optional<qsizetype> length;
  result.refusal_status = ReadRequestLine(lines.front().trimmed(), result.head);
  for (qsizetype i = 1; i < lines.size() && result.refusal_status == 0; ++i) {
    const qsizetype colon = lines[i].indexOf(':');
    const QByteArray name = lines[i].left(std::max<qsizetype>(colon, 0)).toLower();
    // White space around the name can hide the field from one of two parsers
    // (request smuggling).
    if (name.isEmpty() || name != name.trimmed()) {
      result.refusal_status = kBadRequest;
      break;
    }
    result.refusal_status = ReadField(name, lines[i].mid(colon + 1).trimmed(), result.head, length);
  }
  result.head.content_length = length.value_or(0);
  result.head.has_content_length = length.has_value();
  return result;
}

QByteArray WithoutContentLength(const QByteArray& header) {
  QByteArray result;
  result.reserve(header.size());
  for (qsizetype begin = 0; begin < header.size();) {
    const qsizetype newline = header.indexOf('\n', begin);
    const qsizetype end = newline < 0 ? header.size() : newline + 1;
    const QByteArrayView line = QByteArrayView(header).sliced(begin, end - begin);
    const bool is_length = line.size() >= qsizetype{sizeof(kLengthField)} - 1 &&
                           qstrnicmp(line.data(), kLengthField, sizeof(kLengthField) - 1) == 0;
    if (!is_length) result.append(line);
    begin = end;
  }
  return result;
}

}  // namespace coltsfoottide::http
