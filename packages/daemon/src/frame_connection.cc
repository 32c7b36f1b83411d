#include "frame_connection.h"

#include <QMetaObject>
#include <QtEndian>
#include <algorithm>
#include <utility>

namespace coltsfoottide::daemon {

namespace {

constexpr qsizetype kLengthPrefixBytes = 4;
// Capacity of the receive buffer that a connection keeps without unread bytes; some ten usual
// frames.
constexpr qsizetype kMaxKeptBytes = 8192;
// The largest frames carry a configuration with some thousand routes.
constexpr quint32 kMaxFrameBytes = 8 * 1024 * 1024;
// With more unsent bytes the peer has stopped reading: the connection is aborted
// and a new one replaces it.
constexpr qint64 kMaxUnsentBytes = 16 * 1024 * 1024;
// Frames up to this size keep their memory for the next one. Several times the usual size of
// some hundred bytes, so that a configuration does not stay allocated on each connection.
constexpr std::size_t kMaxReusedFrameBytes = 4096;

// Empties the frame. `size`: of its content.
void Reset(direct_wire::Frame& frame, std::size_t size) {
  if (size <= kMaxReusedFrameBytes) {
    frame.Clear();
  } else {
    frame = direct_wire::Frame();
  }
}

}  // namespace

FrameConnection::FrameConnection(qintptr descriptor, Events events) : events_(std::move(events)) {
  ConnectSignals();
  socket_.setSocketDescriptor(descriptor);
  socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  constructing_ = false;
}

FrameConnection::FrameConnection(const QString& host, std::uint16_t port, Events events)
    : events_(std::move(events)) {
  ConnectSignals();
  connect(&socket_, &QTcpSocket::connected, this, [this] {
    socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    if (events_.on_open) events_.on_open();
  });
  // Reports some errors before it returns, such as an unreachable network.
  socket_.connectToHost(host, port, QIODevice::ReadWrite, QAbstractSocket::IPv4Protocol);
  constructing_ = false;
}

FrameConnection::~FrameConnection() { socket_.disconnect(this); }

void FrameConnection::ConnectSignals() {
  connect(&socket_, &QTcpSocket::readyRead, this, [this] { OnReadable(); });
  connect(&socket_, &QTcpSocket::disconnected, this, [this] { OnEnded(); });
  connect(&socket_, &QTcpSocket::errorOccurred, this, [this] { OnEnded(); });
}

direct_wire::Frame& FrameConnection::outbox() {
  if (!flush_scheduled_) {
    flush_scheduled_ = true;
    QMetaObject::invokeMethod(
        this, [this] { Flush(); }, Qt::QueuedConnection);
  }
  return outbox_;
}

void FrameConnection::Flush() {
  if (!flush_scheduled_) return;
  flush_scheduled_ = false;
  const auto size = static_cast<quint32>(outbox_.ByteSizeLong());
  const bool writable = !ended_ && open();
  const bool full = writable && socket_.bytesToWrite() > kMaxUnsentBytes;
  QByteArray buf;
  if (writable && !full) {
    buf = QByteArray(kLengthPrefixBytes + static_cast<qsizetype>(size), Qt::Uninitialized);
    qToBigEndian(size, buf.data());
    outbox_.SerializeWithCachedSizesToArray(reinterpret_cast<std::uint8_t*>(buf.data()) +
                                            kLengthPrefixBytes);
  }
  // Before the socket is used: its signals may add to the next frame.
  Reset(outbox_, size);
  if (full) socket_.abort();
  if (!writable || full) return;
  socket_.write(buf);
  socket_.flush();
}

void FrameConnection::OnReadable() {
  // Without the array that readAll makes for each call.
  const qsizetype kept = received_.size();
  const qint64 available = socket_.bytesAvailable();
  received_.resize(kept + static_cast<qsizetype>(available));
  const qint64 n = socket_.read(received_.data() + kept, available);
  received_.resize(kept + static_cast<qsizetype>(std::max<qint64>(n, 0)));
  qsizetype offset = 0;
  while (!ended_ && received_.size() - offset >= kLengthPrefixBytes) {
    const auto size = qFromBigEndian<quint32>(received_.constData() + offset);
    if (size > kMaxFrameBytes) {
      socket_.abort();
      return;
    }
    if (received_.size() - offset < kLengthPrefixBytes + static_cast<qsizetype>(size)) break;
    if (!inbox_.ParseFromArray(received_.constData() + offset + kLengthPrefixBytes,
                               static_cast<int>(size))) {
      socket_.abort();
      return;
    }
    offset += kLengthPrefixBytes + static_cast<qsizetype>(size);
    events_.on_frame(inbox_);
    Reset(inbox_, size);
  }
  if (offset < received_.size()) {
    received_.remove(0, offset);
  } else if (received_.capacity() <= kMaxKeptBytes) {
    received_.resize(0);
  } else {
    received_ = QByteArray();
  }
}

void FrameConnection::Close() {
  ended_ = true;
  closed_by_owner_ = true;
  socket_.abort();
}

void FrameConnection::OnEnded() {
  if (std::exchange(ended_, true)) return;
  if (!constructing_) return ReportClosed();
  QMetaObject::invokeMethod(
      this, [this] { ReportClosed(); }, Qt::QueuedConnection);
}

void FrameConnection::ReportClosed() {
  if (!closed_by_owner_) events_.on_closed();
}

}  // namespace coltsfoottide::daemon
