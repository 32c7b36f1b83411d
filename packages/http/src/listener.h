#pragma once

#include <QList>
#include <QTcpServer>
#include <functional>

#include "connection.h"

namespace coltsfoottide::http {

// Accepts connections up to a limit and hands their parser sockets to Qt's HTTP
// server. Connections over the limit are closed at once.
class Listener : public QTcpServer {
 public:
  Listener(const ServerLimits& limits, Connection::Events events);
  ~Listener() override;

  // Stops listening and closes idle connections.
  void BeginStop();

 protected:
  void incomingConnection(qintptr descriptor) override;

 private:
  ServerLimits limits_;
  Connection::Events events_;
  QList<Connection*> connections_;
};

}  // namespace coltsfoottide::http
