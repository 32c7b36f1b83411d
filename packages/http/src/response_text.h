#pragma once

#include <QByteArray>

#include "coltsfoottide/http/server.h"

namespace coltsfoottide::http {

// The bytes of a response on the wire. `with_body` is false for HEAD: the
// length is stated and the body left out. Header fields with control
// characters are left out; a status outside 200..599 becomes 500.
QByteArray FormatResponse(const Response& response, bool keep_alive, bool with_body);

}  // namespace coltsfoottide::http
