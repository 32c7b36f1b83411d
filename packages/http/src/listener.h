#pragma once

#include <QList>
#include <QTcpServer>
#include <QTimer>
#include <cstddef>
#include <functional>

#include "connection.h"

namespace coltsfoottide::http {

// Accepts connections up to a limit and hands their parser sockets to Qt's HTTP
// server. Connections over the limit are closed at once.
class Listener : public QTcpServer {
 public:
  Listener(const ServerLimits& limits, Connection::Events events);
  ~Listener() override;

  // Limits the bodies of requests whose header arrives from now on.
  void SetMaxBodyBytes(std::size_t n);

  // Stops listening and closes idle connections.
  void BeginStop();

 protected:
  void incomingConnection(qintptr descriptor) override;

 private:
  void AdvanceMemory();

  ServerLimits limits_;
  Connection::Events events_;
  std::size_t max_body_bytes_;
  QTimer memory_timer_;
  QList<Connection*> connections_;
};

}  // namespace coltsfoottide::http
