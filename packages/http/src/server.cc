#include "coltsfoottide/http/server.h"

#include <QAbstractHttpServer>
#include <QHostAddress>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QPointer>
#include <unordered_map>
#include <utility>

#include "connection.h"
#include "listener.h"
#include "parser_socket.h"

namespace coltsfoottide::http {

namespace {

constexpr char kLengthField[] = "content-length";

// The parser reads the header without its length, and no body.
Request ToRequest(const QHttpServerRequest& parsed, const RequestHead& head, std::string body) {
  Request request;
  request.method = head.method.toStdString();
  request.path = parsed.url().path().toStdString();
  request.query = parsed.url().query(QUrl::FullyEncoded).toStdString();
  for (const auto& [name, value] : parsed.headers()) {
    std::string& joined = request.headers[name.toLower().toStdString()];
    if (!joined.empty()) joined += ", ";
    joined += value.toStdString();
  }
  if (head.has_content_length) request.headers[kLengthField] = std::to_string(body.size());
  request.body = std::move(body);
  return request;
}

// Passes each request that Qt has parsed to a handler, with the socket it was
// read from.
class Dispatcher : public QAbstractHttpServer {
 public:
  using Handler = std::function<void(const QHttpServerRequest&, QTcpSocket*)>;
  explicit Dispatcher(Handler handler) : handler_(std::move(handler)) {}

 protected:
  bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override {
    handler_(request, socket);
    return true;
  }
  void missingHandler(const QHttpServerRequest& /*request*/, QTcpSocket* /*socket*/) override {}

 private:
  Handler handler_;
};

class QtServer : public Server {
 public:
  QtServer(const ServerLimits& limits, ServerCallbacks callbacks)
      : callbacks_(std::move(callbacks)),
        dispatcher_([this](const QHttpServerRequest& request, QTcpSocket* socket) {
          OnParsed(request, socket);
        }),
        listener_(std::make_unique<Listener>(limits, MakeEvents())) {}

  bool Listen(const QHostAddress& address, std::uint16_t port) {
    if (!listener_->listen(address, port)) return false;
    port_ = listener_->serverPort();
    dispatcher_.bind(listener_.get());
    return true;
  }
  std::string error() const { return listener_->errorString().toStdString(); }

  bool Respond(std::uint64_t id, const Response& response) override {
    const auto it = pending_.find(id);
    if (it == pending_.end() || it->second.answered || !it->second.connection) return false;
    it->second.answered = true;
    return it->second.connection->Respond(response);
  }

  void Drop(std::uint64_t id) override {
    const auto it = pending_.find(id);
    if (it == pending_.end() || it->second.answered || !it->second.connection) return;
    it->second.answered = true;
    it->second.connection->Drop();
  }

  void CountDecoded(std::uint64_t id, std::size_t bytes) override {
    const auto it = pending_.find(id);
    if (it == pending_.end() || it->second.answered || !it->second.connection) return;
    it->second.connection->CountDecoded(bytes);
  }

  void SetMaxBodyBytes(std::size_t n) override { listener_->SetMaxBodyBytes(n); }

  void BeginStop() override { listener_->BeginStop(); }
  std::size_t pending() const override { return pending_.size(); }
  std::uint16_t port() const override { return port_; }

 private:
  struct PendingRequest {
    QPointer<Connection> connection;
    bool answered = false;
  };

  Connection::Events MakeEvents() {
    Connection::Events events;
    events.on_abandoned = [this](Connection& it) {
      pending_.erase(it.request_id());
      if (callbacks_.on_abandoned) callbacks_.on_abandoned(it.request_id());
    };
    events.on_input_ended = [this](Connection& it) {
      if (callbacks_.on_input_ended) callbacks_.on_input_ended(it.request_id());
    };
    events.on_written = [this](Connection& it) { pending_.erase(it.request_id()); };
    return events;
  }

  void OnParsed(const QHttpServerRequest& parsed, QTcpSocket* socket) {
    auto* parser_socket = dynamic_cast<ParserSocket*>(socket);
    if (parser_socket == nullptr || parser_socket->connection() == nullptr) return;
    Connection* connection = parser_socket->connection();
    const std::uint64_t id = ++last_id_;
    connection->BeginRequest(id);
    pending_[id].connection = connection;
    Request request = ToRequest(parsed, connection->head(), connection->TakeBody());
    request.id = id;
    callbacks_.on_request(std::move(request));
  }

  ServerCallbacks callbacks_;
  std::unordered_map<std::uint64_t, PendingRequest> pending_;
  std::uint64_t last_id_ = 0;
  std::uint16_t port_ = 0;
  Dispatcher dispatcher_;
  // Declared after the dispatcher, its QObject parent, so that it is destroyed
  // first.
  std::unique_ptr<Listener> listener_;
};

}  // namespace

std::variant<std::unique_ptr<Server>, ServerError> MakeServer(const std::string& address,
                                                              std::uint16_t port,
                                                              const ServerLimits& limits,
                                                              ServerCallbacks callbacks) {
  QHostAddress host;
  if (!host.setAddress(QString::fromStdString(address))) {
    return ServerError{"not an IP address: " + address};
  }
  auto server = std::make_unique<QtServer>(limits, std::move(callbacks));
  if (!server->Listen(host, port)) {
    return ServerError{address + ":" + std::to_string(port) + ": " + server->error()};
  }
  return server;
}

}  // namespace coltsfoottide::http
