#pragma once

#include <QByteArray>

namespace coltsfoottide::http {

// The parts of a request's header that the server needs.
struct RequestHead {
  QByteArray method;
  bool keep_alive = true;
  // The caller's HTTP version has interim (1xx) responses before the final one.
  bool accepts_interim_responses = true;
  // The caller waits for "100 Continue" before it sends the body.
  bool expects_continue = false;
  qsizetype content_length = 0;
  bool has_content_length = false;
};

struct HeadResult {
  RequestHead head;
  // HTTP status with which the request is refused, or 0.
  int refusal_status = 0;
};

// Parses a request line and header fields, without the empty line at the end.
// Refuses a malformed line, a Content-Length that is negative, not a number or
// given twice with different values, any Transfer-Encoding, and tunnels (CONNECT,
// WebSocket).
HeadResult ParseRequestHead(const QByteArray& header);

// Returns a header without its Content-Length fields: a header that ParseRequestHead has
// accepted, with the empty line after it.
QByteArray WithoutContentLength(const QByteArray& header);

}  // namespace coltsfoottide::http
