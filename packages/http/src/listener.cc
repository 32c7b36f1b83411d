#include "listener.h"

#include <unistd.h>

#include <QTimer>
#include <chrono>
#include <utility>

namespace coltsfoottide::http {

namespace {

constexpr int kBacklog = 1024;
// Qt pauses accepting after an error such as "too many open files".
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(100);

}  // namespace

Listener::Listener(const ServerLimits& limits, Connection::Events events)
    : limits_(limits), events_(std::move(events)) {
  setListenBacklogSize(kBacklog);
  events_.on_closed = [this](Connection& it) { connections_.removeOne(&it); };
  connect(this, &QTcpServer::acceptError, this,
          [this] { QTimer::singleShot(kAcceptRetryDelay, this, [this] { resumeAccepting(); }); });
}

Listener::~Listener() {
  for (Connection* it : std::exchange(connections_, {})) delete it;
}

void Listener::BeginStop() {
  close();
  const QList<Connection*> all = connections_;
  for (Connection* it : all) {
    // Stopping one connection may close another from within a callback.
    if (connections_.contains(it)) it->BeginStop();
  }
}

void Listener::incomingConnection(qintptr descriptor) {
  if (static_cast<std::size_t>(connections_.size()) >= limits_.max_connections) {
    ::close(static_cast<int>(descriptor));
    return;
  }
  auto* connection = new Connection(descriptor, limits_, events_, nullptr);
  connections_.append(connection);
  addPendingConnection(connection->parser_socket());
}

}  // namespace coltsfoottide::http
