#include "frame_connection.h"

#include <QMetaObject>
#include <QtEndian>
#include <utility>

namespace coltsfoottide::daemon {

namespace {

constexpr qsizetype kLengthBytes = 4;
// A configuration of some thousand routes is the largest content.
constexpr quint32 kMaxFrameBytes = 8 * 1024 * 1024;
// A peer that does not read for so long is replaced by a new connection.
constexpr qint64 kMaxUnsentBytes = 16 * 1024 * 1024;

}  // namespace

FrameConnection::FrameConnection(qintptr descriptor, Events events) : events_(std::move(events)) {
  Connect();
  socket_.setSocketDescriptor(descriptor);
  socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
}

FrameConnection::FrameConnection(const QString& host, std::uint16_t port, Events events)
    : events_(std::move(events)) {
  Connect();
  connect(&socket_, &QTcpSocket::connected, this, [this] {
    socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    if (events_.on_open) events_.on_open();
  });
  socket_.connectToHost(host, port, QIODevice::ReadWrite, QAbstractSocket::IPv4Protocol);
}

FrameConnection::~FrameConnection() { socket_.disconnect(this); }

void FrameConnection::Connect() {
  connect(&socket_, &QTcpSocket::readyRead, this, [this] { OnReadable(); });
  connect(&socket_, &QTcpSocket::disconnected, this, [this] { End(); });
  connect(&socket_, &QTcpSocket::errorOccurred, this, [this] { End(); });
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
  QByteArray buf(kLengthBytes + static_cast<qsizetype>(size), Qt::Uninitialized);
  qToBigEndian(size, buf.data());
  frame.SerializeWithCachedSizesToArray(reinterpret_cast<std::uint8_t*>(buf.data()) + kLengthBytes);
  socket_.write(buf);
  socket_.flush();
}

void FrameConnection::OnReadable() {
  buf_ += socket_.readAll();
  qsizetype at = 0;
  while (!ended_ && buf_.size() - at >= kLengthBytes) {
    const auto size = qFromBigEndian<quint32>(buf_.constData() + at);
    if (size > kMaxFrameBytes) {
      socket_.abort();
      return;
    }
    if (buf_.size() - at < kLengthBytes + static_cast<qsizetype>(size)) break;
    direct_wire::Frame frame;
    if (!frame.ParseFromArray(buf_.constData() + at + kLengthBytes, static_cast<int>(size))) {
      socket_.abort();
      return;
    }
    at += kLengthBytes + static_cast<qsizetype>(size);
    events_.on_frame(frame);
  }
  buf_.remove(0, at);
}

void FrameConnection::Close() {
  ended_ = true;
  socket_.abort();
}

void FrameConnection::End() {
  if (std::exchange(ended_, true)) return;
  events_.on_closed();
}

}  // namespace coltsfoottide::daemon
