#pragma once

#include <nng/nng.h>

#include <functional>
#include <string>

namespace coltsfoottide::link {

// The incoming half of all links: one nng PULL socket that listens. Messages
// are handed out one after the other, so that each sender's order is kept.
class PullListener {
 public:
  // `on_message` is called from nng's threads.
  explicit PullListener(std::function<void(std::string)> on_message);
  ~PullListener();
  PullListener(const PullListener&) = delete;
  PullListener& operator=(const PullListener&) = delete;

  // Listens on "IP:port" and starts to receive. Returns an error, or an empty
  // string.
  std::string Listen(const std::string& address);

  // Ends receiving and waits for a running callback. Not for nng's threads.
  void Close();

  // "IP:port" with the port in use.
  const std::string& endpoint() const { return endpoint_; }

 private:
  static void OnReceived(void* self);
  int Open(const std::string& address);

  const std::function<void(std::string)> on_message_;
  std::string endpoint_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  nng_aio* aio_ = nullptr;
};

}  // namespace coltsfoottide::link
