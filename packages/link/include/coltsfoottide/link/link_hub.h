#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace coltsfoottide::link {

// Connections between this process and others, by endpoint ("IP:port").
// All calls are safe from any thread.
class LinkHub {
 public:
  virtual ~LinkHub() = default;

  // Queues a message to the endpoint, dialing it when there is no
  // connection. Up to 1024 messages wait for a dial and up to 8192 (64 MB) for
  // an open connection. When the queue is full, or a dial fails or takes over
  // 2 s, the connection is closed, queued messages are dropped and `on_down` is
  // called. A message over 4 MB is dropped and `on_down` is called, but the
  // connection stays open. A message to the hub's own endpoint is delivered on
  // another thread.
  virtual void Send(const std::string& endpoint, std::string message) = 0;

  // Closes the connection to the endpoint and drops queued messages, without a
  // call of `on_down`. Messages handed to the network before may still arrive.
  virtual void Reset(const std::string& endpoint) = 0;

  // Closes all connections; no callback runs after the return. Must not be
  // called from a callback.
  virtual void Close() = 0;

  // Endpoint that this hub listens on, with the actual port.
  virtual const std::string& endpoint() const = 0;
};

// Called from network threads. `on_message` and `on_down` may run concurrently
// with each other; calls of the same one for the same sender do not overlap.
struct LinkCallbacks {
  std::function<void(std::string message)> on_message;
  // The connection to an endpoint has closed or could not be opened.
  std::function<void(const std::string& endpoint)> on_down;
};

struct LinkError {
  std::string message;
};

// Listens on "IP:port" (port 0: chosen by the system) with nng PUSH/PULL sockets.
// Messages over 4 MB are not received.
std::variant<std::unique_ptr<LinkHub>, LinkError> MakeNngLinkHub(const std::string& listen,
                                                                 LinkCallbacks callbacks);

}  // namespace coltsfoottide::link
