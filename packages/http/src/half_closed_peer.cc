#include "half_closed_peer.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <utility>

namespace coltsfoottide::http {

namespace {

// A reset arrives within one round trip. It is detected at most this long
// afterwards, and until then work for the closed connection goes on.
constexpr std::chrono::milliseconds kCheckInterval{10};
constexpr char kInterimResponse[] = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

HalfClosedPeer::HalfClosedPeer(qintptr descriptor)
    : descriptor_(::fcntl(static_cast<int>(descriptor), F_DUPFD_CLOEXEC, 0)) {
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Check(); });
}

HalfClosedPeer::~HalfClosedPeer() { Close(); }

void HalfClosedPeer::Probe(std::function<void()> on_peer_closed) {
  on_peer_closed_ = std::move(on_peer_closed);
  // A failure is reported by Check, since `on_peer_closed` must not run within this call.
  send_failed_ = !Send(kInterimResponse);
  timer_.start(kCheckInterval);
}

void HalfClosedPeer::Check() {
  int error = 0;
  socklen_t n = sizeof(error);
  const bool asked = ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &n) == 0;
  if (asked && error == 0 && !send_failed_) return;
  timer_.stop();
  if (auto on_peer_closed = std::exchange(on_peer_closed_, nullptr)) on_peer_closed();
}

bool HalfClosedPeer::SendFinalResponse(const QByteArray& response) {
  const bool sent = Send(response);
  Close();
  return sent;
}

bool HalfClosedPeer::Send(const QByteArray& bytes) const {
  const ssize_t n = ::send(descriptor_, bytes.constData(), static_cast<std::size_t>(bytes.size()),
                           MSG_NOSIGNAL | MSG_DONTWAIT);
  return n == bytes.size();
}

void HalfClosedPeer::Close() {
  timer_.stop();
  if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
}

}  // namespace coltsfoottide::http
