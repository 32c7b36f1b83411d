#pragma once

#include <QByteArray>

#include "coltsfoottide/http/server.h"

namespace coltsfoottide::http {

// Formats a response for the connection. With `with_body` false (for HEAD) the
// Content-Length is written but the body is not. Header fields with control
// characters are omitted; a status outside 200..599 becomes 500.
QByteArray FormatResponse(const Response& response, bool keep_alive, bool with_body);

}  // namespace coltsfoottide::http
