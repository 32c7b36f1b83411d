#include "coltsfoottide/http/client.h"

#include <QUrl>
#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

#include "client_connection.h"
#include "outgoing_call.h"

namespace coltsfoottide::http {

namespace {

// The connections to one server, and the calls that wait for a free one.
class ConnectionPool {
 public:
  ConnectionPool(QString host, std::uint16_t port, int max_connections)
      : host_(std::move(host)), port_(port), max_connections_(max_connections) {}

  void Add(std::unique_ptr<OutgoingCall> call) {
    OutgoingCall* raw = call.get();
    QObject::connect(&call->time_limit, &QTimer::timeout, &context_, [this, raw] { Expire(raw); });
    queued_calls_.push_back(std::move(call));
    StartQueuedCalls();
  }

 private:
  void StartQueuedCalls() {
    starting_calls_ = true;
    while (!queued_calls_.empty()) {
      ClientConnection* connection = FindOrAddFreeConnection();
      if (connection == nullptr) break;
      auto call = std::move(queued_calls_.front());
      queued_calls_.pop_front();
      connection->Start(host_, port_, std::move(call));
    }
    starting_calls_ = false;
  }

  // Prefers an idle open connection, then an idle closed one, then a new one.
  // Returns null when all are busy and no more may be opened.
  ClientConnection* FindOrAddFreeConnection() {
    ClientConnection* closed = nullptr;
    for (const auto& it : connections_) {
      if (!it->idle()) continue;
      if (it->open()) return it.get();
      closed = it.get();
    }
    if (closed != nullptr) return closed;
    if (connections_.size() >= static_cast<std::size_t>(max_connections_)) return nullptr;
    ClientConnection::Events events;
    events.on_end = [this](ClientConnection&, std::unique_ptr<OutgoingCall> call,
                           ClientResponse response) {
      OnEnd(std::move(call), std::move(response));
    };
    events.on_resend = [this](ClientConnection&, std::unique_ptr<OutgoingCall> call) {
      queued_calls_.push_front(std::move(call));
      StartQueuedCallsLater();
    };
    events.on_closed = [](ClientConnection&) {};
    connections_.push_back(std::make_unique<ClientConnection>(std::move(events)));
    return connections_.back().get();
  }

  void OnEnd(std::unique_ptr<OutgoingCall> call, ClientResponse response) {
    call->time_limit.stop();
    // Calls are queued only while all connections are busy.
    if (!queued_calls_.empty()) StartQueuedCallsLater();
    if (!starting_calls_) return call->done(std::move(response));
    // The caller is still in Get or Post.
    QMetaObject::invokeMethod(
        &context_,
        [done = std::move(call->done), response = std::move(response)] { done(response); },
        Qt::QueuedConnection);
  }

  // Starts queued calls from the event loop, since a connection is free only
  // after its callback has returned.
  void StartQueuedCallsLater() {
    QMetaObject::invokeMethod(
        &context_, [this] { StartQueuedCalls(); }, Qt::QueuedConnection);
  }

  void Expire(OutgoingCall* call) {
    const auto it = std::find_if(queued_calls_.begin(), queued_calls_.end(),
                                 [call](const auto& other) { return other.get() == call; });
    if (it != queued_calls_.end()) {
      auto expired = std::move(*it);
      queued_calls_.erase(it);
      ClientResponse response;
      response.delivery = Delivery::kNotSent;
      response.error = "time limit reached before a connection was free";
      expired->done(std::move(response));
      return;
    }
    const auto owner = std::find_if(connections_.begin(), connections_.end(),
                                    [call](const auto& other) { return other->call() == call; });
    if (owner == connections_.end()) return;
    // Reading may report the end of the call, whose callback may add connections.
    ClientConnection* const connection = owner->get();
    // The response may have arrived in time while this process was too late to
    // read it.
    connection->ReadPending();
    if (connection->call() == call) connection->Fail("time limit reached");
  }

  QString host_;
  std::uint16_t port_;
  int max_connections_;
  QObject context_;
  // Calls are being started, on behalf of a caller that has not been returned to.
  bool starting_calls_ = false;
  std::deque<std::unique_ptr<OutgoingCall>> queued_calls_;
  std::vector<std::unique_ptr<ClientConnection>> connections_;
};

class PooledClient : public Client {
 public:
  explicit PooledClient(int max_connections) : max_connections_(std::max(max_connections, 1)) {}

  void Post(const std::string& url, const std::map<std::string, std::string>& headers,
            std::string body, std::chrono::milliseconds time_limit,
            std::function<void(ClientResponse)> done) override {
    std::string head;
    bool has_type = false;
    for (const auto& [name, value] : headers) {
      has_type = has_type || name == "Content-Type";
      head.append(name).append(": ").append(value).append("\r\n");
    }
    if (!has_type) head += "Content-Type: application/octet-stream\r\n";
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    Enqueue("POST", url, head, body, time_limit, std::move(done));
  }

  void Get(const std::string& url, std::chrono::milliseconds time_limit,
           std::function<void(ClientResponse)> done) override {
    Enqueue("GET", url, "", "", time_limit, std::move(done));
  }

 private:
  void Enqueue(const std::string& method, const std::string& url, const std::string& head,
               const std::string& body, std::chrono::milliseconds time_limit,
               std::function<void(ClientResponse)> done) {
    constexpr std::string_view kScheme = "http://";
    constexpr int kHttpPort = 80;
    const std::size_t host_begin = url.starts_with(kScheme) ? kScheme.size() : 0;
    const std::size_t host_end = std::min(url.find('/', host_begin), url.size());
    const std::string authority = url.substr(host_begin, host_end - host_begin);
    std::string target = url.substr(host_end);
    if (target.empty()) target = "/";
    auto call = std::make_unique<OutgoingCall>();
    call->text = method + " " + target + " HTTP/1.1\r\nHost: " + authority +
                 "\r\nUser-Agent: coltsfoottide\r\n" + head + "\r\n" + body;
    call->may_be_resent = method == "GET";
    call->done = std::move(done);
    call->time_limit.setSingleShot(true);
    call->time_limit.start(time_limit);
    auto it = pools_.find(authority);
    if (it == pools_.end()) {
      const QUrl parsed(QString::fromStdString("http://" + authority));
      it = pools_
               .emplace(authority,
                        std::make_unique<ConnectionPool>(
                            parsed.host(), static_cast<std::uint16_t>(parsed.port(kHttpPort)),
                            max_connections_))
               .first;
    }
    it->second->Add(std::move(call));
  }

  int max_connections_;
  std::map<std::string, std::unique_ptr<ConnectionPool>> pools_;
};

}  // namespace

std::unique_ptr<Client> MakeClient(int max_connections) {
  return std::make_unique<PooledClient>(max_connections);
}

}  // namespace coltsfoottide::http
