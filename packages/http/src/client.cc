#include "coltsfoottide/http/client.h"

#include <QNetworkProxy>
#include <QUrl>
#include <algorithm>
#include <deque>
#include <unordered_set>
#include <utility>
#include <vector>

#include "call.h"

namespace coltsfoottide::http {

namespace {

// Connections that Qt 6.4 opens for one key at most; it is not configurable.
constexpr int kConnectionsPerLane = 6;

QNetworkRequest MakeRequest(const QUrl& url) {
  using Request = QNetworkRequest;
  Request request(url);
  request.setAttribute(Request::RedirectPolicyAttribute, Request::ManualRedirectPolicy);
  request.setAttribute(Request::CacheLoadControlAttribute, Request::AlwaysNetwork);
  request.setAttribute(Request::CacheSaveControlAttribute, false);
  request.setAttribute(Request::CookieLoadControlAttribute, Request::Manual);
  request.setAttribute(Request::CookieSaveControlAttribute, Request::Manual);
  request.setAttribute(Request::AuthenticationReuseAttribute, Request::Manual);
  request.setAttribute(Request::Http2AllowedAttribute, false);
  request.setAttribute(Request::HttpPipeliningAllowedAttribute, false);
  // A buffered body could be sent a second time.
  request.setAttribute(Request::DoNotBufferUploadDataAttribute, true);
  request.setRawHeader("User-Agent", "coltsfoottide");
  request.setRawHeader("Accept-Encoding", "identity");
  return request;
}

// The connections to one server: lanes of up to 6, and the calls that wait
// for one to be free.
class Peer {
 public:
  explicit Peer(int max_connections) : capacity_(max_connections) {
    const int lanes = (max_connections + kConnectionsPerLane - 1) / kConnectionsPerLane;
    outstanding_.resize(static_cast<std::size_t>(std::max(lanes, 1)));
  }

  void Add(Call* call) { waiting_.push_back(call); }

  // Starts waiting calls while connections are free, each on the lane with
  // the fewest outstanding ones.
  void StartWaiting(QNetworkAccessManager& manager) {
    while (!waiting_.empty() && in_progress_ < capacity_) {
      const auto lane = std::min_element(outstanding_.begin(), outstanding_.end());
      Call* call = waiting_.front();
      waiting_.pop_front();
      ++*lane;
      ++in_progress_;
      call->Start(manager, static_cast<int>(lane - outstanding_.begin()));
    }
  }

  void Remove(Call* call) {
    if (call->lane() < 0) {
      std::erase(waiting_, call);
      return;
    }
    --outstanding_[static_cast<std::size_t>(call->lane())];
    --in_progress_;
  }

 private:
  int capacity_;
  int in_progress_ = 0;
  std::vector<int> outstanding_;
  std::deque<Call*> waiting_;
};

class QtClient : public Client {
 public:
  explicit QtClient(int max_connections) : max_connections_(std::max(max_connections, 1)) {
    manager_.setProxy(QNetworkProxy::NoProxy);
    manager_.setRedirectPolicy(QNetworkRequest::ManualRedirectPolicy);
  }

  ~QtClient() override {
    for (Call* it : calls_) delete it;
  }

  void Post(const std::string& url, const std::map<std::string, std::string>& headers,
            std::string body, std::chrono::milliseconds time_limit,
            std::function<void(ClientResponse)> done) override {
    QNetworkRequest request = MakeRequest(QUrl(QString::fromStdString(url)));
    for (const auto& [name, value] : headers) {
      request.setRawHeader(QByteArray::fromStdString(name), QByteArray::fromStdString(value));
    }
    // Qt adds a form type, with a warning, where none is given.
    if (!request.hasRawHeader("Content-Type")) {
      request.setRawHeader("Content-Type", "application/octet-stream");
    }
    // Qt needs the length in advance of a body that it does not buffer.
    request.setHeader(QNetworkRequest::ContentLengthHeader, static_cast<qint64>(body.size()));
    Enqueue(request, std::make_unique<UploadDevice>(std::move(body)), time_limit, std::move(done));
  }

  void Get(const std::string& url, std::chrono::milliseconds time_limit,
           std::function<void(ClientResponse)> done) override {
    Enqueue(MakeRequest(QUrl(QString::fromStdString(url))), nullptr, time_limit, std::move(done));
  }

 private:
  void Enqueue(const QNetworkRequest& request, std::unique_ptr<UploadDevice> body,
               std::chrono::milliseconds time_limit, std::function<void(ClientResponse)> done) {
    const QUrl url = request.url();
    Peer& peer = peers_.try_emplace(url.authority(), max_connections_).first->second;
    Call::Callbacks callbacks;
    callbacks.on_end = [this, &peer](Call& call) { OnEnd(peer, call); };
    callbacks.done = std::move(done);
    auto* call = new Call(request, std::move(body), time_limit, std::move(callbacks));
    calls_.insert(call);
    peer.Add(call);
    peer.StartWaiting(manager_);
  }

  void OnEnd(Peer& peer, Call& call) {
    peer.Remove(&call);
    calls_.erase(&call);
    call.deleteLater();
    peer.StartWaiting(manager_);
  }

  int max_connections_;
  QNetworkAccessManager manager_;
  std::map<QString, Peer> peers_;
  std::unordered_set<Call*> calls_;
};

}  // namespace

std::unique_ptr<Client> MakeClient(int max_connections) {
  return std::make_unique<QtClient>(max_connections);
}

}  // namespace coltsfoottide::http
