#include "connection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>

#include "coltsfoottide/http/memory_budget.h"
#include "response_text.h"

namespace coltsfoottide::http {

namespace {

// Bytes that Qt reads ahead from the kernel; TCP flow control makes the peer wait
// with the rest.
constexpr qint64 kReadBufferBytes = 16 * 1024;
// Bytes that Qt reads ahead while a large body is received, whose memory is reserved.
constexpr qint64 kBodyReadBufferBytes = 64 * 1024;
// Memory of a connection itself: its objects, two sockets of Qt and its parser. With the first
// request come the buffers that the sockets keep. Measured with 700 connections: 6.2 kB, and
// 19.1 kB after one request.
constexpr std::size_t kConnectionBytes = std::size_t{8} * 1024;
constexpr std::size_t kUsedConnectionBytes = std::size_t{20} * 1024;
// The kernel's receive buffer, for what a peer has sent while its connection does not read. The
// kernel doubles the value. A window of 64 kB takes 262,144 bytes in 4 round trips.
constexpr int kKernelBufferBytes = 64 * 1024;
// With more than this of earlier responses in the kernel's send buffer, a peer's next request
// waits until it has read.
constexpr std::size_t kMaxUnreadBytes = std::size_t{64} * 1024;
constexpr std::chrono::milliseconds kUnreadInterval{20};
// After a refusal the rest of the request is discarded for this long: closing
// with unread bytes would reset the connection, and the peer might not receive
// the response.
constexpr std::chrono::milliseconds kLingerTimeout = std::chrono::seconds(1);
// Time in which a peer that has closed resets the connection: one round trip between data
// centres.
constexpr std::chrono::milliseconds kProbeTime{50};
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr char kMemoryRetryAfterSeconds[] = "1";

}  // namespace

Connection::Connection(qintptr descriptor, const ServerLimits& limits, Events events,
                       QObject* parent)
    : QObject(parent),
      limits_(limits),
      events_(std::move(events)),
      parser_socket_(new ParserSocket(this, [this] { Refuse(kBadRequest); })),
      framer_(limits.max_request_bytes) {
  socket_.setReadBufferSize(kReadBufferBytes);
  limits_.memory->Add(*this, std::chrono::steady_clock::now());
  socket_.setSocketDescriptor(descriptor);
  socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  socket_.setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, kKernelBufferBytes);
  timer_.setSingleShot(true);
  connect(&socket_, &QTcpSocket::readyRead, this, [this] { OnReadable(); });
  // Queued, because flush() emits the signal, and the next request must not be
  // reported from within Respond().
  connect(
      &socket_, &QTcpSocket::bytesWritten, this, [this] { OnWritten(); }, Qt::QueuedConnection);
  connect(&socket_, &QTcpSocket::disconnected, this, [this] { OnDisconnected(); });
  connect(&timer_, &QTimer::timeout, this, [this] { OnTimeout(); });
  ArmReceiveTimer();
  CountMemory();
}

Connection::~Connection() {
  limits_.memory->Remove(*this);
  socket_.disconnect(this);
  if (parser_socket_) parser_socket_->End();
}

void Connection::BeginRequest(std::uint64_t id) {
  request_id_ = id;
  if (half_closed_) {
    state_ = State::kHalfClosed;
    return;
  }
  state_ = State::kInProgress;
  if (!head_.accepts_interim_responses) return;
  half_closed_ =
      std::make_unique<HalfClosedPeer>(socket_.socketDescriptor(), limits_.max_descriptor);
  // If no descriptor is free, a caller that ends its input counts as gone.
  if (!half_closed_->valid() && errno != EMFILE) {
    qWarning("cannot duplicate descriptor: %s", std::strerror(errno));
  }
}

bool Connection::Respond(const Response& response) {
  if (state_ == State::kHalfClosed) return RespondHalfClosed(response);
  if (state_ != State::kInProgress) return false;
  state_ = State::kResponding;
  half_closed_.reset();
  const bool keep_alive = head_.keep_alive && !stopping_;
  close_after_response_ = !keep_alive;
  timer_.start(limits_.idle_timeout);
  socket_.write(FormatResponse(response, keep_alive, head_.method != "HEAD"));
  socket_.flush();
  request_bytes_ = 0;
  CountMemory();
  return true;
}

bool Connection::RespondHalfClosed(const Response& response) {
  const bool sent =
      half_closed_->SendFinalResponse(FormatResponse(response, false, head_.method != "HEAD"));
  EndHalfClosed();
  return sent;
}

// Reports the end from the event loop, because the caller may still use the
// request.
void Connection::EndHalfClosed() {
  state_ = State::kClosed;
  half_closed_.reset();
  QMetaObject::invokeMethod(
      this,
      [this] {
        events_.on_written(*this);
        ReportClosed();
      },
      Qt::QueuedConnection);
}

void Connection::Drop() {
  if (state_ == State::kHalfClosed) return EndHalfClosed();
  if (state_ != State::kInProgress) return;
  state_ = State::kResponding;
  half_closed_.reset();
  // From the event loop, because the parser may still be in the call that
  // reported the request.
  QMetaObject::invokeMethod(
      this, [this] { socket_.abort(); }, Qt::QueuedConnection);
}

void Connection::BeginStop() {
  stopping_ = true;
  if (state_ != State::kReceiving) return;
  // A request that has already arrived is answered.
  socket_.waitForReadyRead(0);
  if (state_ == State::kReceiving && framer_.state() == RequestFramer::State::kEmpty) Linger();
}

void Connection::OnReadable() {
  if (state_ == State::kLingering) {
    socket_.readAll();
  } else if (state_ == State::kReceiving) {
    Receive();
  } else {
    CountMemory();
  }
}

void Connection::Receive() {
  using FramerState = RequestFramer::State;
  // Not initialized, because it is only written to.
  std::array<char, kReadBufferBytes> buf;
  while (framer_.wanted() > 0) {
    if (framer_.state() == FramerState::kBody && !ReserveBody()) break;
    const qint64 n = socket_.read(buf.data(), std::min<qint64>(framer_.wanted(), buf.size()));
    if (n <= 0) break;
    framer_.Append(QByteArrayView(buf.data(), n));
  }
  if (state_ != State::kReceiving) return;
  if (framer_.state() == FramerState::kRefused) return Refuse(framer_.refusal_status());
  if (framer_.state() == FramerState::kComplete) return Dispatch();
  const bool reading =
      framer_.state() == FramerState::kBody && body_memory_ != BodyMemory::kWaiting;
  if (reading && framer_.head().expects_continue && !continue_sent_) {
    continue_sent_ = true;
    socket_.write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  ArmReceiveTimer();
  CountMemory();
}

// Returns whether the body may be read now. Small ones always may.
bool Connection::ReserveBody() {
  if (body_memory_ != BodyMemory::kNone) return body_memory_ == BodyMemory::kReserved;
  const auto n = static_cast<std::size_t>(framer_.head().content_length);
  if (n > MemoryBudget::kSmallBytes) {
    if (n > limits_.memory->max_reservation()) {
      limits_.memory->CountRefused();
      Refuse(kContentTooLarge);
      return false;
    }
    // The bytes are added to those of CountMemory once they are reserved.
    body_memory_ = BodyMemory::kWaiting;
    CountMemory();
    if (!limits_.memory->Reserve(*this, n, std::chrono::steady_clock::now())) {
      events_.on_memory_needed();
      return false;
    }
  }
  body_memory_ = BodyMemory::kReserved;
  if (n > MemoryBudget::kSmallBytes) socket_.setReadBufferSize(kBodyReadBufferBytes);
  return true;
}

void Connection::OnMemoryReserved() {
  body_memory_ = BodyMemory::kReserved;
  socket_.setReadBufferSize(kBodyReadBufferBytes);
  if (state_ == State::kReceiving) Receive();
}

// From the event loop, because the budget may be advanced from within a call of this class.
// A request that has been refused meanwhile gets its response.
void Connection::OnMemoryReclaimed() {
  reclaimed_ = true;
  QMetaObject::invokeMethod(
      this,
      [this] {
        if (state_ == State::kHalfClosed || state_ == State::kProbing) {
          half_closed_.reset();
          OnPeerClosed();
        } else if (state_ != State::kClosed && state_ != State::kLingering) {
          half_closed_.reset();
          socket_.abort();
        }
      },
      Qt::QueuedConnection);
}

// Counts what this connection makes the process hold.
void Connection::CountMemory() {
  std::size_t n =
      (used_ ? kUsedConnectionBytes : kConnectionBytes) + request_bytes_ + framer_.held_bytes();
  const auto body = static_cast<std::size_t>(framer_.head().content_length);
  const bool reading_body = framer_.state() == RequestFramer::State::kBody;
  if (reading_body && body_memory_ == BodyMemory::kWaiting) n -= body;
  const auto unread = static_cast<std::size_t>(socket_.bytesAvailable());
  n += unread + static_cast<std::size_t>(socket_.bytesToWrite());
  // The read buffer is full, so the kernel's may be as well.
  if (unread >= static_cast<std::size_t>(kReadBufferBytes)) {
    n += 2 * std::size_t{kKernelBufferBytes};
  }
  if (state_ == State::kUnread) n += UnreadBytes();
  const bool in_progress = state_ == State::kInProgress || state_ == State::kHalfClosed;
  limits_.memory->Set(*this, n, in_progress, std::chrono::steady_clock::now());
  if (limits_.memory->NeedsAdvance()) events_.on_memory_needed();
}

void Connection::CountDecoded(std::size_t bytes) {
  if (state_ != State::kInProgress && state_ != State::kHalfClosed) return;
  request_bytes_ = bytes;
  CountMemory();
}

// The request is refused before it is passed on, so that none of it runs.
void Connection::RefuseForMemory() {
  limits_.memory->CountRefused();
  Refuse(kUnavailable);
}

void Connection::Dispatch() {
  timer_.stop();
  timed_state_ = RequestFramer::State::kRefused;
  continue_sent_ = false;
  head_ = framer_.head();
  unread_checks_ = 0;
  Begin();
}

void Connection::Begin() {
  if (UnreadBytes() > kMaxUnreadBytes) {
    state_ = State::kUnread;
    timer_.start(kUnreadInterval);
    return CountMemory();
  }
  state_ = State::kReceiving;
  // The peer may have given up before this process could read its request, and sent it to
  // another server since.
  if (head_.accepts_interim_responses && InputHasEnded()) {
    half_closed_ =
        std::make_unique<HalfClosedPeer>(socket_.socketDescriptor(), limits_.max_descriptor);
    if (half_closed_->valid()) {
      state_ = State::kProbing;
      return;
    }
    half_closed_.reset();
  }
  Parse();
}

void Connection::Parse() {
  RequestFramer::Complete request = framer_.Take();
  state_ = State::kParsing;
  limits_.memory->ReclaimExcess(std::chrono::steady_clock::now());
  if (reclaimed_ || limits_.memory->IsExceeded()) return RefuseForMemory();
  body_memory_ = BodyMemory::kNone;
  used_ = true;
  if (request.body.size() > MemoryBudget::kSmallBytes) socket_.setReadBufferSize(kReadBufferBytes);
  request_bytes_ = static_cast<std::size_t>(request.header.size()) + request.body.size();
  body_ = std::move(request.body);
  // The parser gets no body, since it would keep it until the next request.
  if (parser_socket_) parser_socket_->Feed(WithoutContentLength(request.header));
  // The parser calls BeginRequest unless it disagrees with the framer.
  if (state_ == State::kParsing) Refuse(kBadRequest);
  CountMemory();
}

// Bytes of responses that the peer has not acknowledged.
std::size_t Connection::UnreadBytes() const {
  int n = 0;
  const int descriptor = static_cast<int>(socket_.socketDescriptor());
  const bool known = ::ioctl(descriptor, SIOCOUTQ, &n) == 0 && n > 0;
  return known ? static_cast<std::size_t>(n) : 0;
}

bool Connection::InputHasEnded() const {
  if (socket_.bytesAvailable() > 0) return false;
  char next = 0;
  const int descriptor = static_cast<int>(socket_.socketDescriptor());
  const ssize_t n = ::recv(descriptor, &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno == ECONNRESET);
}

// Restarts the timer only when the state changes, so that a peer cannot
// extend a limit by sending single bytes.
void Connection::ArmReceiveTimer() {
  if (framer_.state() == timed_state_) return;
  timed_state_ = framer_.state();
  if (timed_state_ == RequestFramer::State::kEmpty) timer_.start(limits_.idle_timeout);
  if (timed_state_ == RequestFramer::State::kHeader) timer_.start(limits_.header_timeout);
  if (timed_state_ == RequestFramer::State::kBody) timer_.start(limits_.body_timeout);
}

void Connection::OnWritten() {
  if (state_ != State::kResponding) return;
  if (socket_.bytesToWrite() > 0) return CountMemory();
  events_.on_written(*this);
  const bool next_has_arrived =
      framer_.state() != RequestFramer::State::kEmpty || socket_.bytesAvailable() > 0;
  if (close_after_response_ || (stopping_ && !next_has_arrived)) return Linger();
  state_ = State::kReceiving;
  Receive();
}

void Connection::Refuse(int status) {
  if (state_ == State::kLingering || state_ == State::kClosed) return;
  Response response;
  response.status = status;
  response.content_type = "text/plain";
  if (status == kUnavailable) response.headers.emplace("Retry-After", kMemoryRetryAfterSeconds);
  if (state_ == State::kParsing && half_closed_) {
    half_closed_->SendFinalResponse(FormatResponse(response, false, true));
    return EndHalfClosed();
  }
  socket_.write(FormatResponse(response, false, true));
  Linger();
}

// Shuts down the sending direction and waits for the peer to close. If bytes are
// still to be written, closes after them instead.
void Connection::Linger() {
  state_ = State::kLingering;
  timer_.start(kLingerTimeout);
  socket_.flush();
  if (socket_.bytesToWrite() > 0) return Close();
  ::shutdown(static_cast<int>(socket_.socketDescriptor()), SHUT_WR);
  socket_.readAll();
}

// Qt closes after it has written what is queued; the timer that is already
// running limits the wait.
void Connection::Close() { socket_.disconnectFromHost(); }

void Connection::OnTimeout() {
  if (state_ == State::kProbing) return Parse();
  if (state_ == State::kUnread && ++unread_checks_ * kUnreadInterval < limits_.idle_timeout) {
    return Begin();
  }
  const bool receiving = state_ == State::kReceiving;
  if (receiving && framer_.state() != RequestFramer::State::kEmpty) return Refuse(kRequestTimeout);
  if (receiving) return Linger();
  socket_.abort();
}

void Connection::OnDisconnected() {
  if (state_ == State::kProbing) {
    half_closed_->Probe([this] { OnPeerClosed(); });
    timer_.start(kProbeTime);
    return;
  }
  const bool input_ended = socket_.error() == QAbstractSocket::RemoteHostClosedError;
  if (state_ == State::kInProgress && input_ended && half_closed_ && half_closed_->valid()) {
    state_ = State::kHalfClosed;
    half_closed_->Probe([this] { OnPeerClosed(); });
    events_.on_input_ended(*this);
    return;
  }
  const State last = std::exchange(state_, State::kClosed);
  if (last == State::kClosed) return;
  if (last == State::kInProgress) events_.on_abandoned(*this);
  if (last == State::kResponding) events_.on_written(*this);
  ReportClosed();
}

void Connection::OnPeerClosed() {
  const State last = std::exchange(state_, State::kClosed);
  if (last != State::kProbing) events_.on_abandoned(*this);
  ReportClosed();
}

void Connection::ReportClosed() {
  timer_.stop();
  limits_.memory->Remove(*this);
  if (limits_.memory->NeedsAdvance()) events_.on_memory_needed();
  if (parser_socket_) parser_socket_->End();
  events_.on_closed(*this);
  deleteLater();
}

}  // namespace coltsfoottide::http
