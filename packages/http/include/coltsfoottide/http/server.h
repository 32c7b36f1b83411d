#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace coltsfoottide::http {

class MemoryBudget;

struct Request {
  // Unique in this server.
  std::uint64_t id = 0;
  std::string method;
  // Decoded, without the query.
  std::string path;
  // The part after the '?', percent-encoded.
  std::string query;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::map<std::string, std::string> headers;
};

struct ServerLimits {
  // Header and body of one request together.
  std::size_t max_request_bytes = 2 * 1024 * 1024;
  std::size_t max_connections = 4096;
  std::chrono::milliseconds header_timeout = std::chrono::seconds(5);
  std::chrono::milliseconds body_timeout = std::chrono::seconds(10);
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(60);
  // What clients may make the process hold, shared by all servers of the process. Null: a
  // budget of its own of kDefaultBudgetBytes.
  std::shared_ptr<MemoryBudget> memory = nullptr;
  // Descriptors from this number on are left to the rest of the process.
  int max_descriptor = std::numeric_limits<int>::max();
};

// Budget of a server that is given none: 4,096 connections with a request of 10 kB each and
// its decoded form need 120 MB.
constexpr std::size_t kDefaultBudgetBytes = std::size_t{128} * 1024 * 1024;

struct ServerError {
  std::string message;
};

// An HTTP/1.1 server on the current Qt thread. Requests are answered
// asynchronously, by id and in any order; each connection has at most one request
// in progress.
class Server {
 public:
  virtual ~Server() = default;

  // Answers a request. A second response to it, and one to a closed connection,
  // are ignored. Returns whether it was written to an open connection.
  virtual bool Respond(std::uint64_t id, const Response& response) = 0;

  // Closes the connection of a request instead of answering it; ignored when
  // the request has been answered or its connection is closed. `on_abandoned` is
  // not called.
  virtual void Drop(std::uint64_t id) = 0;

  // Counts this many bytes in the memory budget for a request in progress, instead of its header
  // and body: what the application holds for it until the response.
  virtual void CountDecoded(std::uint64_t id, std::size_t bytes) = 0;

  // Limits the bodies of requests whose header arrives from now on, in addition to
  // ServerLimits::max_request_bytes. Larger ones are refused with 413.
  virtual void SetMaxBodyBytes(std::size_t n) = 0;

  // Stops listening; idle connections close at once, others after their
  // response.
  virtual void BeginStop() = 0;

  // Number of requests whose response has not been handed to the kernel.
  virtual std::size_t pending() const = 0;
  // The actual port.
  virtual std::uint16_t port() const = 0;
};

struct ServerCallbacks {
  std::function<void(Request request)> on_request;
  // The caller has disconnected before the response.
  std::function<void(std::uint64_t id)> on_abandoned = nullptr;
  // The caller has ended its input and may still read the response.
  std::function<void(std::uint64_t id)> on_input_ended = nullptr;
};

// Listens on an IP address and port (0: chosen by the system). Must be called,
// used and destroyed on a thread with a Qt event loop.
std::variant<std::unique_ptr<Server>, ServerError> MakeServer(const std::string& address,
                                                              std::uint16_t port,
                                                              const ServerLimits& limits,
                                                              ServerCallbacks callbacks);

}  // namespace coltsfoottide::http
