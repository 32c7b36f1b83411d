#include "half_closed_peer.h"

#include <fcntl.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace coltsfoottide::http {

namespace {

// A reset arrives within one round trip. It is detected at most this long
// afterwards, and until then work for the closed connection goes on.
constexpr std::chrono::milliseconds kCheckInterval{10};
constexpr char kInterimResponse[] = "HTTP/1.1 100 Continue\r\n\r\n";
// A load balancer needs two writes to see that its peer has closed, and a third one for the
// reset by the load balancer itself.
constexpr std::chrono::milliseconds kInterimInterval{100};
// The interval doubles after these, so that few bytes cover a long request.
constexpr int kFrequentInterimResponses = 5;
// Limits the bytes in the receive buffer of a peer that does not read.
constexpr int kMaxInterimResponses = 16;

// Whether the kernel may take the bytes later.
bool IsTransient(int error) {
  return error == EAGAIN || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

}  // namespace

HalfClosedPeer::HalfClosedPeer(qintptr descriptor, int max_descriptor)
    : descriptor_(::fcntl(static_cast<int>(descriptor), F_DUPFD_CLOEXEC, 0)),
      interval_(kInterimInterval) {
  if (descriptor_ >= max_descriptor) {
    Close();
    errno = EMFILE;
  }
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Check(); });
}

HalfClosedPeer::~HalfClosedPeer() { Close(); }

void HalfClosedPeer::Probe(std::function<void()> on_peer_closed) {
  on_peer_closed_ = std::move(on_peer_closed);
  // A failure is reported by Check, since `on_peer_closed` must not run within this call.
  SendInterimResponse();
  timer_.start(kCheckInterval);
}

void HalfClosedPeer::Check() {
  int error = 0;
  socklen_t n = sizeof(error);
  const bool asked = ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &n) == 0;
  if (asked && error == 0 && !send_failed_) {
    if (!unsent_.isEmpty() || InterimResponseIsDue()) SendInterimResponse();
    return;
  }
  timer_.stop();
  if (auto on_peer_closed = std::exchange(on_peer_closed_, nullptr)) on_peer_closed();
}

bool HalfClosedPeer::InterimResponseIsDue() const {
  return interim_responses_ < kMaxInterimResponses &&
         std::chrono::steady_clock::now() >= next_interim_response_;
}

// Sends nothing while bytes are on their way: these make a peer that has closed reset the
// connection as well, and a peer that does not read is sent no more.
void HalfClosedPeer::SendInterimResponse() {
  if (!SendQueueIsEmpty()) return;
  if (unsent_.isEmpty()) {
    unsent_ = kInterimResponse;
    next_interim_response_ = std::chrono::steady_clock::now() + interval_;
    if (++interim_responses_ >= kFrequentInterimResponses) interval_ *= 2;
  }
  const qsizetype n = Send(unsent_);
  if (n >= 0) {
    unsent_.remove(0, n);
  } else {
    send_failed_ = !IsTransient(errno);
  }
}

bool HalfClosedPeer::SendQueueIsEmpty() const {
  int n = 0;
  return ::ioctl(descriptor_, SIOCOUTQ, &n) != 0 || n == 0;
}

bool HalfClosedPeer::SendFinalResponse(const QByteArray& response) {
  const QByteArray bytes = unsent_.isEmpty() ? response : unsent_ + response;
  const bool sent = Send(bytes) == bytes.size();
  Close();
  return sent;
}

qsizetype HalfClosedPeer::Send(const QByteArray& bytes) const {
  return ::send(descriptor_, bytes.constData(), static_cast<std::size_t>(bytes.size()),
                MSG_NOSIGNAL | MSG_DONTWAIT);
}

void HalfClosedPeer::Close() {
  timer_.stop();
  if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
}

}  // namespace coltsfoottide::http
