#include <chrono>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "callback_gate.h"
#include "coltsfoottide/link/link_hub.h"
#include "coltsfoottide/schema/limits.h"
#include "pull_listener.h"
#include "push_link.h"
#include "serial_queue.h"

namespace coltsfoottide::link {

namespace {

constexpr std::chrono::milliseconds kMaintenanceInterval = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds kIdleLimit = std::chrono::minutes(5);
constexpr int kMaxSendAttempts = 3;
// Limit on messages to the hub's own endpoint that wait for delivery.
constexpr std::size_t kMaxSelfQueue = 8192;

// A LinkHub over nng: one PushLink for each endpoint, and one PullListener.
class NngLinkHub : public LinkHub {
 public:
  explicit NngLinkHub(LinkCallbacks callbacks)
      : callbacks_(std::move(callbacks)),
        listener_([this](std::string message) { Deliver(std::move(message)); }),
        maintenance_queue_(kMaintenanceInterval, [this] { RunMaintenance(); }),
        self_queue_(kMaintenanceInterval, nullptr) {}

  ~NngLinkHub() override { NngLinkHub::Close(); }

  std::string Listen(const std::string& address) { return listener_.Listen(address); }

  void Send(const std::string& endpoint, std::string message) override {
    if (message.size() > schema::kMaxWireMessageBytes) return ReportDown(endpoint);
    if (endpoint == listener_.endpoint()) return SendToSelf(std::move(message));
    const auto now = std::chrono::steady_clock::now();
    // The link may fail between FindOrDial and Push, and so may the next one. The
    // attempts are limited because an invalid endpoint fails every dial at once.
    for (int attempt = 0; attempt < kMaxSendAttempts; ++attempt) {
      const std::shared_ptr<PushLink> link = FindOrDial(endpoint, now);
      if (!link || link->Push(message, now) != PushLink::PushResult::kClosed) return;
      RemoveClosed(endpoint);
    }
    ReportDown(endpoint);
  }

  void Reset(const std::string& endpoint) override {
    std::shared_ptr<PushLink> link;
    {
      const std::lock_guard lock(mutex_);
      const auto it = links_.find(endpoint);
      if (it == links_.end()) return;
      link = std::move(it->second);
      links_.erase(it);
    }
    link->Abandon();
    CloseLater(std::move(link));
  }

  void Close() override {
    std::unordered_map<std::string, std::shared_ptr<PushLink>> links;
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
      links.swap(links_);
    }
    gate_.Close();
    self_queue_.Stop();
    maintenance_queue_.Stop();
    for (const auto& [endpoint, link] : links) link->Close();
    listener_.Close();
  }

  const std::string& endpoint() const override { return listener_.endpoint(); }

 private:
  void Deliver(std::string message) {
    gate_.Run([&] { callbacks_.on_message(std::move(message)); });
  }

  void SendToSelf(std::string message) {
    const bool queued = self_queue_.Post(
        [this, message = std::move(message)]() mutable { Deliver(std::move(message)); },
        kMaxSelfQueue);
    if (!queued) ReportDown(listener_.endpoint());
  }

  // Calls `on_down` on the maintenance thread, since callers of the hub may hold
  // locks of their own.
  void ReportDown(const std::string& endpoint) {
    maintenance_queue_.Post([this, endpoint] { gate_.Run([&] { callbacks_.on_down(endpoint); }); });
  }

  std::shared_ptr<PushLink> FindOrDial(const std::string& endpoint, PushLink::TimePoint now) {
    std::shared_ptr<PushLink> link;
    {
      const std::lock_guard lock(mutex_);
      if (closed_) return nullptr;
      std::shared_ptr<PushLink>& slot = links_[endpoint];
      if (slot) return slot;
      slot = std::make_shared<PushLink>(endpoint, [this, endpoint] { OnFailed(endpoint); });
      link = slot;
    }
    link->Dial(now);
    return link;
  }

  void OnFailed(const std::string& endpoint) {
    maintenance_queue_.Post([this, endpoint] { RemoveClosed(endpoint); });
    ReportDown(endpoint);
  }

  // Removes the endpoint's link if it is closed. A new link may already have
  // replaced the closed one; it stays.
  void RemoveClosed(const std::string& endpoint) {
    std::shared_ptr<PushLink> link;
    {
      const std::lock_guard lock(mutex_);
      const auto it = links_.find(endpoint);
      if (it == links_.end() || !it->second->closed()) return;
      link = std::move(it->second);
      links_.erase(it);
    }
    CloseLater(std::move(link));
  }

  // Closes the link on the maintenance thread: nng_close waits for nng's
  // callbacks, so it must not run on nng's threads.
  void CloseLater(std::shared_ptr<PushLink> link) {
    maintenance_queue_.Post([link = std::move(link)] { link->Close(); });
  }

  void RunMaintenance() {
    std::vector<std::shared_ptr<PushLink>> links;
    {
      const std::lock_guard lock(mutex_);
      for (const auto& [endpoint, link] : links_) links.push_back(link);
    }
    const auto now = std::chrono::steady_clock::now();
    for (const auto& it : links) {
      it->CheckDial(now);
      if (it->AbandonIfIdle(now, kIdleLimit)) RemoveClosed(it->endpoint());
    }
  }

  const LinkCallbacks callbacks_;
  CallbackGate gate_;
  std::mutex mutex_;
  std::unordered_map<std::string, std::shared_ptr<PushLink>> links_;
  bool closed_ = false;
  PullListener listener_;
  SerialQueue maintenance_queue_;
  SerialQueue self_queue_;
};

}  // namespace

std::variant<std::unique_ptr<LinkHub>, LinkError> MakeNngLinkHub(const std::string& listen,
                                                                 LinkCallbacks callbacks) {
  auto hub = std::make_unique<NngLinkHub>(std::move(callbacks));
  std::string error = hub->Listen(listen);
  if (!error.empty()) return LinkError{std::move(error)};
  return hub;
}

}  // namespace coltsfoottide::link
