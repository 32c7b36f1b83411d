#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace coltsfoottide::http {

// How far a request got when no complete response arrived.
enum class Delivery {
  // No byte of the request was written to a connection.
  kNotSent,
  // The request was written at least in part; the peer may have acted on it.
  kMaybeSent,
};

struct ClientResponse {
  // HTTP status, or 0 when no complete response arrived.
  int status = 0;
  std::string body;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  Delivery delivery = Delivery::kMaybeSent;
  // The connection was refused: no process listens at the port, or something on the way
  // refuses it. The request was not sent.
  bool connection_refused = false;
  std::string error;
};

// An HTTP/1.1 client on the current Qt thread. A POST is sent at most once, also
// when its kept-alive connection closes before the response; a GET may be sent
// again. Redirects are not followed. Calls in progress when the client is
// destroyed are aborted without a call of `done`.
class Client {
 public:
  virtual ~Client() = default;

  // Calls `done` exactly once, on the same thread, after this function has returned.
  virtual void Post(const std::string& url, const std::map<std::string, std::string>& headers,
                    std::string body, std::chrono::milliseconds time_limit,
                    std::function<void(ClientResponse)> done) = 0;
  virtual void Get(const std::string& url, std::chrono::milliseconds time_limit,
                   std::function<void(ClientResponse)> done) = 0;
};

// Makes a client that opens up to `max_connections` connections to a server.
std::unique_ptr<Client> MakeClient(int max_connections);

}  // namespace coltsfoottide::http
