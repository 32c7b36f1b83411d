#pragma once

#include <QTimer>
#include <functional>
#include <string>

#include "coltsfoottide/http/client.h"

namespace coltsfoottide::http {

// A request that is waiting for a connection or in progress on one.
struct OutgoingCall {
  // Header and body as they are written to the connection.
  std::string text;
  // Sending it twice does no harm; true for a GET.
  bool may_be_resent = false;
  std::function<void(ClientResponse)> done;
  // Runs from the call of the client, so it includes the time in the queue.
  QTimer time_limit;
};

}  // namespace coltsfoottide::http
