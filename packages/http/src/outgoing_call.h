#pragma once

#include <QTimer>
#include <functional>
#include <string>

#include "coltsfoottide/http/client.h"

namespace coltsfoottide::http {

// A request that is waiting for a connection or in progress on one.
struct OutgoingCall {
  // Head and body as they are written.
  std::string text;
  // A second sending does no harm, e.g. of a GET.
  bool may_be_resent = false;
  std::function<void(ClientResponse)> done;
  // Runs from the moment the caller made the call.
  QTimer time_limit;
};

}  // namespace coltsfoottide::http
