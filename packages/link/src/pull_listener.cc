#include "pull_listener.h"

#include <nng/protocol/pipeline0/pull.h>

#include <utility>

#include "coltsfoottide/schema/limits.h"

namespace coltsfoottide::link {

PullListener::PullListener(std::function<void(std::string)> on_message)
    : on_message_(std::move(on_message)) {}

PullListener::~PullListener() {
  Close();
  nng_aio_free(aio_);
}

std::string PullListener::Listen(const std::string& address) {
  const int error = Open(address);
  if (error != 0) return address + ": " + nng_strerror(error);
  nng_recv_aio(socket_, aio_);
  return {};
}

int PullListener::Open(const std::string& address) {
  const std::string url = "tcp://" + address;
  nng_listener listener;
  int error = nng_aio_alloc(&aio_, &PullListener::OnReceived, this);
  if (error == 0) error = nng_pull0_open(&socket_);
  // By default nng does not limit the size of received messages.
  if (error == 0) {
    error = nng_socket_set_size(socket_, NNG_OPT_RECVMAXSZ, schema::kMaxWireMessageBytes);
  }
  if (error == 0) error = nng_listener_create(&listener, socket_, url.c_str());
  if (error == 0) error = nng_listener_set_bool(listener, NNG_OPT_TCP_NODELAY, true);
  if (error == 0) error = nng_listener_start(listener, 0);
  int port = 0;
  if (error == 0) error = nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
  endpoint_ = address.substr(0, address.rfind(':') + 1) + std::to_string(port);
  return error;
}

void PullListener::OnReceived(void* self) {
  auto& listener = *static_cast<PullListener*>(self);
  const int error = nng_aio_result(listener.aio_);
  if (error == NNG_ECLOSED || error == NNG_ECANCELED) return;
  if (error == 0) {
    nng_msg* msg = nng_aio_get_msg(listener.aio_);
    std::string text(static_cast<const char*>(nng_msg_body(msg)), nng_msg_len(msg));
    nng_msg_free(msg);
    listener.on_message_(std::move(text));
  }
  nng_recv_aio(listener.socket_, listener.aio_);
}

void PullListener::Close() {
  // nng 1.5.2 may wait forever in nng_close while an operation is pending, so
  // the operations are stopped first.
  nng_aio_stop(aio_);
  nng_close(socket_);
}

}  // namespace coltsfoottide::link
