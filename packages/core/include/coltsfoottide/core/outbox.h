#pragma once

#include <string>

#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// Carries messages to other processes of the system.
class Outbox {
 public:
  virtual ~Outbox() = default;

  // Queues a message to the process that listens on the endpoint ("IP:port").
  // Fills in `from` and `incarnation`. Delivery is not guaranteed; messages
  // on one connection keep their order.
  virtual void Send(const std::string& endpoint, wire::Envelope envelope) = 0;

  // Closes the connection to the endpoint and discards the messages queued on
  // it. The next Send opens a new connection.
  virtual void ResetLink(const std::string& endpoint) = 0;
};

}  // namespace coltsfoottide::core
