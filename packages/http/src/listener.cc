#include "listener.h"

#include <unistd.h>

#include <QTimer>
#include <chrono>
#include <utility>

#include "coltsfoottide/http/memory_budget.h"

namespace coltsfoottide::http {

namespace {

constexpr int kBacklog = 1024;
// Qt pauses accepting after an error such as "too many open files".
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(100);

// How often it is seen whether waiting requests can be read, or others have to be closed.
constexpr std::chrono::milliseconds kMemoryInterval{20};

}  // namespace

Listener::Listener(const ServerLimits& limits, Connection::Events events)
    : limits_(limits), events_(std::move(events)), max_body_bytes_(limits.max_request_bytes) {
  if (!limits_.memory) limits_.memory = std::make_shared<MemoryBudget>(kDefaultBudgetBytes);
  memory_timer_.setSingleShot(true);
  connect(&memory_timer_, &QTimer::timeout, this, [this] { AdvanceMemory(); });
  events_.on_memory_needed = [this] {
    if (!memory_timer_.isActive()) {
      memory_timer_.start(limits_.memory->IsExceeded() ? std::chrono::milliseconds(0)
                                                       : kMemoryInterval);
    }
  };
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

void Listener::SetMaxBodyBytes(std::size_t n) {
  max_body_bytes_ = n;
  for (Connection* it : connections_) it->set_max_body_bytes(n);
}

void Listener::AdvanceMemory() {
  limits_.memory->Advance(std::chrono::steady_clock::now());
  if (limits_.memory->NeedsAdvance()) memory_timer_.start(kMemoryInterval);
}

void Listener::incomingConnection(qintptr descriptor) {
  if (static_cast<std::size_t>(connections_.size()) >= limits_.max_connections) {
    ::close(static_cast<int>(descriptor));
    return;
  }
  auto* connection = new Connection(descriptor, limits_, events_, nullptr);
  connection->set_max_body_bytes(max_body_bytes_);
  connections_.append(connection);
  addPendingConnection(connection->parser_socket());
}

}  // namespace coltsfoottide::http
