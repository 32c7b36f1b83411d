#pragma once

#include <QByteArray>
#include <QTcpSocket>
#include <functional>

namespace coltsfoottide::http {

class Connection;

// The socket that Qt's HTTP parser reads from. It has no connection of its own
// and is given one whole request at a time, so the parser never buffers a partial
// request and never sees the next request before the response.
class ParserSocket : public QTcpSocket {
 public:
  // `on_refused` is called when the parser rejects a request and closes the
  // socket.
  ParserSocket(Connection* connection, std::function<void()> on_refused);

  // The connection that the requests come from, null after End().
  Connection* connection() const { return connection_; }

  // Makes the parser read one whole request, within this call.
  void Feed(QByteArray request);

  // Tells the parser that the connection has closed, and deletes this object
  // later.
  void End();

  qint64 bytesAvailable() const override;
  bool isSequential() const override { return true; }
  void disconnectFromHost() override;
  void close() override;

 protected:
  qint64 readData(char* data, qint64 max_size) override;
  qint64 writeData(const char* data, qint64 size) override;

 private:
  Connection* connection_;
  std::function<void()> on_refused_;
  QByteArray request_;
  qsizetype read_offset_ = 0;
};

}  // namespace coltsfoottide::http
