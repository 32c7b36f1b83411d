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

  // Queues a message to the endpoint, dialling it when there is no
  // connection. While there is none, up to 1024 messages wait; when a dial
  // fails they are dropped and `on_down` is called.
  virtual void Send(const std::string& endpoint, std::string message) = 0;

  // Closes the connection to the endpoint and drops what waits for it. What
  // was handed to the network before may still arrive.
  virtual void Reset(const std::string& endpoint) = 0;

  // Stops all traffic; no callback runs after the return.
  virtual void Close() = 0;

  // Endpoint that this hub listens on, with the port in use.
  virtual const std::string& endpoint() const = 0;
};

// Called from network threads.
struct LinkCallbacks {
  std::function<void(std::string message)> on_message;
  // The connection to an endpoint has closed or could not be opened.
  std::function<void(const std::string& endpoint)> on_down;
};

struct LinkError {
  std::string message;
};

// Listens on "IP:port" (port 0: any) with nng PUSH/PULL sockets. Messages
// over 4 MB are not received.
std::variant<std::unique_ptr<LinkHub>, LinkError> MakeNngLinkHub(const std::string& listen,
                                                                 LinkCallbacks callbacks);

}  // namespace coltsfoottide::link
