#pragma once

#include <QJsonObject>
#include <string>

#include "coltsfoottide/http/server.h"

namespace coltsfoottide::standin {

// Makes a response with a JSON body.
http::Response JsonResponse(const QJsonObject& body, int status = 200);

// Makes a response with the body {"error":MESSAGE}.
http::Response ErrorResponse(int status, const std::string& message);

// Returns the value of an unsigned query parameter, or the fallback when it
// is absent or not a number.
std::uint64_t QueryNumber(const http::Request& request, const std::string& name,
                          std::uint64_t fallback);

}  // namespace coltsfoottide::standin
