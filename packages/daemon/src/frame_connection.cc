#include "frame_connection.h"

#include <QMetaObject>
#include <QtEndian>
#include <utility>

namespace coltsfoottide::daemon {

namespace {

constexpr qsizetype kLengthPrefixBytes = 4;
// The largest frames carry a configuration with some thousand routes.
constexpr quint32 kMaxFrameBytes = 8 * 1024 * 1024;
// With more unsent bytes the peer has stopped reading: the connection is aborted
// and a new one replaces it.
constexpr qint64 kMaxUnsentBytes = 16 * 1024 * 1024;

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
  const direct_wire::Frame frame = std::exchange(outbox_, direct_wire::Frame());
  if (ended_ || !open()) return;
  if (socket_.bytesToWrite() > kMaxUnsentBytes) {
    socket_.abort();
    return;
  }
  const auto size = static_cast<quint32>(frame.ByteSizeLong());
  QByteArray buf(kLengthPrefixBytes + static_cast<qsizetype>(size), Qt::Uninitialized);
  qToBigEndian(size, buf.data());
  frame.SerializeWithCachedSizesToArray(reinterpret_cast<std::uint8_t*>(buf.data()) +
                                        kLengthPrefixBytes);
  socket_.write(buf);
  socket_.flush();
}

void FrameConnection::OnReadable() {
  received_ += socket_.readAll();
  qsizetype offset = 0;
  while (!ended_ && received_.size() - offset >= kLengthPrefixBytes) {
    const auto size = qFromBigEndian<quint32>(received_.constData() + offset);
    if (size > kMaxFrameBytes) {
      socket_.abort();
      return;
    }
    if (received_.size() - offset < kLengthPrefixBytes + static_cast<qsizetype>(size)) break;
    direct_wire::Frame frame;
    if (!frame.ParseFromArray(received_.constData() + offset + kLengthPrefixBytes,
                              static_cast<int>(size))) {
      socket_.abort();
      return;
    }
    offset += kLengthPrefixBytes + static_cast<qsizetype>(size);
    events_.on_frame(frame);
  }
  received_.remove(0, offset);
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
