#pragma once

#include <nng/nng.h>

#include <functional>
#include <string>

namespace coltsfoottide::link {

// The receiving side of all links: one listening nng PULL socket. Messages are
// passed to `on_message` one after the other, so that each sender's order is
// kept.
class PullListener {
 public:
  // `on_message` is called from nng's threads.
  explicit PullListener(std::function<void(std::string)> on_message);
  ~PullListener();
  PullListener(const PullListener&) = delete;
  PullListener& operator=(const PullListener&) = delete;

  // Listens on "IP:port" and starts to receive. Returns an error message, or an
  // empty string on success.
  std::string Listen(const std::string& address);

  // Stops receiving and waits for a running callback. Must not be called from
  // nng's threads.
  void Close();

  // "IP:port" with the actual port.
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
