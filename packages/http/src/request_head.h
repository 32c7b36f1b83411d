#pragma once

#include <QByteArray>

namespace coltsfoottide::http {

// What the server needs to know of a request's header.
struct RequestHead {
  QByteArray method;
  bool keep_alive = true;
  // The caller's version knows responses that precede the final one.
  bool takes_interim = true;
  // The caller waits for "100 Continue" before it sends the body.
  bool expects_continue = false;
  qsizetype content_length = 0;
};

struct HeadResult {
  RequestHead head;
  // HTTP status with which the request is refused, or 0.
  int refusal_status = 0;
};

// Reads a request line and header fields, without the empty line at the end.
// Refused are a malformed line, a Content-Length that is negative, not a
// number or given twice with different values, any Transfer-Encoding, and
// tunnels (CONNECT, WebSocket).
HeadResult ParseRequestHead(const QByteArray& header);

}  // namespace coltsfoottide::http
