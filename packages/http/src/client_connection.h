#pragma once

#include <QObject>
#include <QTcpSocket>
#include <QTimer>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "coltsfoottide/http/client.h"
#include "outgoing_call.h"

namespace coltsfoottide::http {

// One client connection to a server. Carries one call at a time and stays open
// between calls.
class ClientConnection : public QObject {
 public:
  struct Events {
    // The call has ended; the connection is free if it is still open.
    std::function<void(ClientConnection&, std::unique_ptr<OutgoingCall>, ClientResponse)> on_end;
    // A reused connection closed before any byte of the response, and the call
    // may be sent again.
    std::function<void(ClientConnection&, std::unique_ptr<OutgoingCall>)> on_resend;
    // The connection closed while idle.
    std::function<void(ClientConnection&)> on_closed;
  };

  explicit ClientConnection(Events events);
  ~ClientConnection() override;

  // Sends the call; connects first if needed.
  void Start(const QString& host, std::uint16_t port, std::unique_ptr<OutgoingCall> call);

  // Reads what the kernel has already received, without waiting.
  void ReadPending();

  // Ends the call in progress with the error and closes.
  void Fail(const std::string& error);

  bool idle() const { return call_ == nullptr; }
  bool open() const { return socket_.state() == QAbstractSocket::ConnectedState; }
  const OutgoingCall* call() const { return call_.get(); }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void OnConnected();
  void OnReadable();
  void OnDisconnected();
  void OnError(QAbstractSocket::SocketError error);
  void Send();
  void Finish();
  // Closes the connection without a call of OnDisconnected or OnError.
  void AbortSilently();
  void ReportEnd(ClientResponse response);

  Events events_;
  QTcpSocket socket_;
  QByteArray buf_;
  std::optional<Parser> parser_;
  std::unique_ptr<OutgoingCall> call_;
  bool reused_ = false;
  bool sent_ = false;
  bool connection_refused_ = false;
};

}  // namespace coltsfoottide::http
