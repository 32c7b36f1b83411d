#include "client_connection.h"

#include <boost/asio/buffer.hpp>
#include <utility>

namespace coltsfoottide::http {

namespace {

// Limits the memory that a server can make this process use for one response.
constexpr std::uint64_t kMaxResponseBodyBytes = 64 * 1024 * 1024;

std::string LowerCase(boost::beast::string_view text) {
  std::string lower(text);
  for (char& it : lower) it = it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
  return lower;
}

}  // namespace

ClientConnection::ClientConnection(Events events) : events_(std::move(events)) {
  connect(&socket_, &QTcpSocket::connected, this, [this] { OnConnected(); });
  connect(&socket_, &QTcpSocket::readyRead, this, [this] { OnReadable(); });
  connect(&socket_, &QTcpSocket::disconnected, this, [this] { OnDisconnected(); });
  connect(&socket_, &QTcpSocket::errorOccurred, this,
          [this](QAbstractSocket::SocketError error) { OnError(error); });
}

// The socket's destructor emits disconnected() too, which must not be handled.
ClientConnection::~ClientConnection() { socket_.disconnect(this); }

void ClientConnection::Start(const QString& host, std::uint16_t port,
                             std::unique_ptr<OutgoingCall> call) {
  call_ = std::move(call);
  sent_ = false;
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(kMaxResponseBodyBytes);
  buf_.clear();
  reused_ = open();
  if (reused_) return Send();
  socket_.connectToHost(host, port, QIODevice::ReadWrite, QAbstractSocket::IPv4Protocol);
}

void ClientConnection::ReadPending() {
  if (open()) socket_.waitForReadyRead(0);
}

void ClientConnection::OnConnected() {
  socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  if (call_) Send();
}

void ClientConnection::Send() {
  sent_ = true;
  socket_.write(call_->text.data(), static_cast<qint64>(call_->text.size()));
  socket_.flush();
}

void ClientConnection::OnReadable() {
  if (!call_) {
    socket_.abort();
    return;
  }
  buf_ += socket_.readAll();
  while (!buf_.isEmpty() && !parser_->is_done()) {
    boost::beast::error_code ec;
    const auto used = parser_->put(
        boost::asio::const_buffer(buf_.constData(), static_cast<std::size_t>(buf_.size())), ec);
    buf_.remove(0, static_cast<qsizetype>(used));
    if (ec == boost::beast::http::error::need_more) return;
    if (ec) return Fail("invalid answer: " + ec.message());
    if (used == 0) break;
  }
  if (parser_->is_done()) Finish();
}

void ClientConnection::Finish() {
  auto message = parser_->release();
  const bool keep = message.keep_alive();
  ClientResponse response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    const auto value = field.value();
    response.headers[LowerCase(field.name_string())].assign(value.data(), value.size());
  }
  response.body = std::move(message.body());
  // Bytes after the response would be taken for the response to the next call.
  if (!keep || !buf_.isEmpty()) AbortSilently();
  ReportEnd(std::move(response));
}

void ClientConnection::OnDisconnected() {
  if (!call_) {
    events_.on_closed(*this);
    return;
  }
  const bool response_begun = parser_->got_some();
  if (!response_begun && reused_ && call_->may_be_resent) {
    events_.on_resend(*this, std::move(call_));
    return;
  }
  boost::beast::error_code ec;
  parser_->put_eof(ec);
  if (response_begun && !ec && parser_->is_done()) return Finish();
  Fail("connection closed before the whole answer");
}

void ClientConnection::OnError(QAbstractSocket::SocketError error) {
  // The end of an open connection is handled by OnDisconnected().
  if (sent_ || !call_ || error == QAbstractSocket::RemoteHostClosedError) return;
  connection_refused_ = error == QAbstractSocket::ConnectionRefusedError;
  Fail(socket_.errorString().toStdString());
}

void ClientConnection::Fail(const std::string& error) {
  ClientResponse response;
  response.delivery = sent_ ? Delivery::kMaybeSent : Delivery::kNotSent;
  response.connection_refused = std::exchange(connection_refused_, false);
  response.error = error;
  AbortSilently();
  ReportEnd(std::move(response));
}

void ClientConnection::AbortSilently() {
  socket_.blockSignals(true);
  socket_.abort();
  socket_.blockSignals(false);
}

void ClientConnection::ReportEnd(ClientResponse response) {
  events_.on_end(*this, std::move(call_), std::move(response));
}

}  // namespace coltsfoottide::http
