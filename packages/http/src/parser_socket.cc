#include "parser_socket.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace coltsfoottide::http {

ParserSocket::ParserSocket(Connection* connection, std::function<void()> on_refused)
    : connection_(connection), on_refused_(std::move(on_refused)) {
  setOpenMode(QIODevice::ReadWrite);
  setSocketState(QAbstractSocket::ConnectedState);
}

void ParserSocket::Feed(QByteArray request) {
  request_ = std::move(request);
  read_offset_ = 0;
  // Emitted by name, because the signal is private to QIODevice.
  QMetaObject::invokeMethod(this, "readyRead", Qt::DirectConnection);
}

void ParserSocket::End() {
  connection_ = nullptr;
  on_refused_ = nullptr;
  setSocketState(QAbstractSocket::UnconnectedState);
  QMetaObject::invokeMethod(this, "disconnected", Qt::DirectConnection);
  deleteLater();
}

qint64 ParserSocket::bytesAvailable() const {
  return QTcpSocket::bytesAvailable() + request_.size() - read_offset_;
}

void ParserSocket::disconnectFromHost() {
  if (auto refused = std::exchange(on_refused_, nullptr)) refused();
}

void ParserSocket::close() { disconnectFromHost(); }

qint64 ParserSocket::readData(char* data, qint64 max_size) {
  const qint64 n = std::min<qint64>(max_size, request_.size() - read_offset_);
  std::memcpy(data, request_.constData() + read_offset_, static_cast<std::size_t>(n));
  read_offset_ += n;
  if (read_offset_ == request_.size()) {
    request_.clear();
    read_offset_ = 0;
  }
  return n;
}

// Responses are written to the connection itself.
qint64 ParserSocket::writeData(const char* /*data*/, qint64 /*size*/) { return -1; }

}  // namespace coltsfoottide::http
