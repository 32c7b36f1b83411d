#include "coltsfoottide/link/link_hub.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace coltsfoottide::link {

namespace {

// Only a test that hangs waits this long.
constexpr auto kHang = std::chrono::seconds(60);

// A hub that records the messages and failures reported to it.
class Node {
 public:
  explicit Node(const std::string& listen = "127.0.0.1:0") {
    LinkCallbacks callbacks;
    callbacks.on_message = [this](std::string it) { Record(messages_, std::move(it)); };
    callbacks.on_down = [this](const std::string& it) { Record(downs_, it); };
    hub = std::get<0>(MakeNngLinkHub(listen, std::move(callbacks)));
  }
  ~Node() { hub->Close(); }

  bool WaitForMessages(std::size_t n) {
    return Wait([&] { return messages_.size() >= n; });
  }
  bool WaitForMessage(const std::string& text) {
    return Wait([&] { return std::count(messages_.begin(), messages_.end(), text) > 0; });
  }
  bool WaitForDown(const std::string& endpoint) {
    return Wait([&] { return std::count(downs_.begin(), downs_.end(), endpoint) > 0; });
  }
  std::vector<std::string> messages() {
    const std::lock_guard lock(mutex_);
    return messages_;
  }
  std::size_t downs() {
    const std::lock_guard lock(mutex_);
    return downs_.size();
  }

  std::unique_ptr<LinkHub> hub;

 private:
  void Record(std::vector<std::string>& list, std::string it) {
    const std::lock_guard lock(mutex_);
    list.push_back(std::move(it));
    changed_.notify_all();
  }
  template <typename Done>
  bool Wait(Done done) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kHang, done);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> messages_;
  std::vector<std::string> downs_;
};

// Accepts connections and sends nothing, like a server of another protocol.
struct SilentListener {
  SilentListener() {
    CPPUNIT_ASSERT_EQUAL(0, nng_stream_listener_alloc(&listener, "tcp://127.0.0.1:0"));
    CPPUNIT_ASSERT_EQUAL(0, nng_stream_listener_listen(listener));
    int port = 0;
    CPPUNIT_ASSERT_EQUAL(0, nng_stream_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port));
    endpoint = "127.0.0.1:" + std::to_string(port);
  }
  ~SilentListener() { nng_stream_listener_free(listener); }
  SilentListener(const SilentListener&) = delete;
  SilentListener& operator=(const SilentListener&) = delete;

  nng_stream_listener* listener = nullptr;
  std::string endpoint;
};

}  // namespace

class LinkHubTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkHubTest);
  CPPUNIT_TEST(KeepsOrder);
  CPPUNIT_TEST(DropsMessagesOverLimit);
  CPPUNIT_TEST(ReportsClosedPeer);
  CPPUNIT_TEST(ReportsRefusedDial);
  CPPUNIT_TEST(ReportsInvalidEndpoint);
  CPPUNIT_TEST(ReportsDialWithoutResponse);
  CPPUNIT_TEST(BoundsDialQueue);
  CPPUNIT_TEST(SendsAfterReset);
  CPPUNIT_TEST(ReachesRestartedPeer);
  CPPUNIT_TEST(KeepsOrderOfEachConcurrentSender);
  CPPUNIT_TEST(RunsNoCallbackAfterClose);
  CPPUNIT_TEST(DeliversToItselfOnAnotherThread);
  CPPUNIT_TEST(ReportsPortInUseAndInvalidAddress);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsOrder() {
    constexpr int kCount = 1000;
    Node sender;
    Node receiver;
    for (int i = 0; i < kCount; ++i) {
      sender.hub->Send(receiver.hub->endpoint(), std::to_string(i));
    }
    CPPUNIT_ASSERT(receiver.WaitForMessages(kCount));
    const std::vector<std::string> messages = receiver.messages();
    for (int i = 0; i < kCount; ++i) CPPUNIT_ASSERT_EQUAL(std::to_string(i), messages[i]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sender.downs());
  }

  // Guards against a peer that exhausts memory: nng has no receive limit by
  // default.
  void DropsMessagesOverLimit() {
    constexpr std::size_t kLimit = std::size_t{4} * 1024 * 1024;
    Node sender;
    Node receiver;
    const std::string endpoint = receiver.hub->endpoint();
    sender.hub->Send(endpoint, std::string(kLimit + 1, 'x'));
    CPPUNIT_ASSERT(sender.WaitForDown(endpoint));
    sender.hub->Send(endpoint, std::string(kLimit, 'x'));
    CPPUNIT_ASSERT(receiver.WaitForMessages(1));

    // A peer that does not limit what it sends.
    nng_socket raw;
    CPPUNIT_ASSERT_EQUAL(0, nng_push0_open(&raw));
    CPPUNIT_ASSERT_EQUAL(0, nng_dial(raw, ("tcp://" + endpoint).c_str(), nullptr, 0));
    std::string large(kLimit + 1, 'y');
    CPPUNIT_ASSERT_EQUAL(0, nng_send(raw, large.data(), large.size(), 0));
    sender.hub->Send(endpoint, "after");
    CPPUNIT_ASSERT(receiver.WaitForMessage("after"));
    nng_close(raw);
    for (const std::string& it : receiver.messages()) CPPUNIT_ASSERT(it.size() <= kLimit);
  }

  void ReportsClosedPeer() {
    Node sender;
    auto receiver = std::make_unique<Node>();
    const std::string endpoint = receiver->hub->endpoint();
    sender.hub->Send(endpoint, "a");
    CPPUNIT_ASSERT(receiver->WaitForMessages(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sender.downs());
    receiver.reset();
    CPPUNIT_ASSERT(sender.WaitForDown(endpoint));
  }

  // Guards against messages that waited for a failed dial and are sent over a
  // later connection.
  void ReportsRefusedDial() {
    auto stopped = std::make_unique<Node>();
    const std::string endpoint = stopped->hub->endpoint();
    stopped.reset();
    Node sender;
    sender.hub->Send(endpoint, "dropped");
    CPPUNIT_ASSERT(sender.WaitForDown(endpoint));
    Node restarted(endpoint);
    sender.hub->Send(endpoint, "later");
    CPPUNIT_ASSERT(restarted.WaitForMessage("later"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restarted.messages().size());
  }

  // Guards against a Send that never returns: an invalid endpoint, which a
  // caller can put into a ticket, fails every dial at once.
  void ReportsInvalidEndpoint() {
    Node sender;
    for (const std::string endpoint : {"bogus", "", "127.0.0.1", "127.0.0.1:99999"}) {
      sender.hub->Send(endpoint, "dropped");
      CPPUNIT_ASSERT(sender.WaitForDown(endpoint));
    }
  }

  // Guards against a dial that is never reported, because it neither succeeds
  // nor is refused.
  void ReportsDialWithoutResponse() {
    const SilentListener listener;
    Node sender;
    sender.hub->Send(listener.endpoint, "x");
    CPPUNIT_ASSERT(sender.WaitForDown(listener.endpoint));
  }

  // Guards against messages that are dropped from a full queue without a
  // report, which would lose a start.
  void BoundsDialQueue() {
    const SilentListener listener;
    Node sender;
    for (int i = 0; i < 1025; ++i) sender.hub->Send(listener.endpoint, "x");
    CPPUNIT_ASSERT(sender.WaitForDown(listener.endpoint));
  }

  void SendsAfterReset() {
    Node sender;
    Node receiver;
    const std::string endpoint = receiver.hub->endpoint();
    for (int i = 0; i < 20; ++i) {
      const std::string text = "after-" + std::to_string(i);
      sender.hub->Send(endpoint, text);
      CPPUNIT_ASSERT(receiver.WaitForMessage(text));
      sender.hub->Reset(endpoint);
    }
    // A reset is requested by the caller and is not reported.
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sender.downs());
  }

  // Guards against a listening port that is not free again right after its
  // process has ended.
  void ReachesRestartedPeer() {
    Node sender;
    auto receiver = std::make_unique<Node>();
    const std::string endpoint = receiver->hub->endpoint();
    for (int i = 0; i < 3; ++i) {
      const std::string text = "life-" + std::to_string(i);
      // Sends until the failure of the link to the former process is noticed.
      do {
        sender.hub->Send(endpoint, text);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      } while (receiver->messages().empty());
      CPPUNIT_ASSERT(receiver->WaitForMessage(text));
      receiver.reset();
      receiver = std::make_unique<Node>(endpoint);
    }
  }

  void KeepsOrderOfEachConcurrentSender() {
    constexpr int kThreads = 4;
    constexpr int kCount = 200;
    Node sender;
    Node receiver;
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int t = 0; t < kThreads; ++t) {
      threads.emplace_back([&, t] {
        for (int i = 0; i < kCount; ++i) {
          sender.hub->Send(receiver.hub->endpoint(), std::to_string(t * kCount + i));
        }
      });
    }
    for (std::thread& it : threads) it.join();
    CPPUNIT_ASSERT(receiver.WaitForMessages(kThreads * kCount));
    std::vector<int> last(kThreads, -1);
    for (const std::string& it : receiver.messages()) {
      const int value = std::stoi(it);
      CPPUNIT_ASSERT(last[value / kCount] < value % kCount);
      last[value / kCount] = value % kCount;
    }
  }

  void RunsNoCallbackAfterClose() {
    for (int round = 0; round < 10; ++round) {
      std::atomic<bool> closed = false;
      std::atomic<bool> late = false;
      std::atomic<bool> stop = false;
      LinkCallbacks callbacks;
      callbacks.on_message = [&](const std::string&) { late = late || closed; };
      callbacks.on_down = [&](const std::string&) { late = late || closed; };
      auto hub = std::get<0>(MakeNngLinkHub("127.0.0.1:0", std::move(callbacks)));
      Node peer;
      const auto traffic = [&] {
        for (int i = 1; !stop; ++i) {
          peer.hub->Send(hub->endpoint(), "in");
          hub->Send(peer.hub->endpoint(), "out");
          hub->Send(hub->endpoint(), "self");
          if (i % 100 == 0) hub->Reset(peer.hub->endpoint());
          std::this_thread::sleep_for(std::chrono::microseconds(20));
        }
      };
      std::array threads = {std::thread(traffic), std::thread(traffic)};
      const bool flowing = peer.WaitForMessages(1);
      hub->Close();
      closed = true;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      stop = true;
      for (std::thread& it : threads) it.join();
      CPPUNIT_ASSERT(flowing);
      CPPUNIT_ASSERT(!late);
    }
  }

  // Guards against a delivery from within Send, which would reenter the caller while
  // it may hold a lock.
  void DeliversToItselfOnAnotherThread() {
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::thread::id> ids;
    LinkCallbacks callbacks;
    callbacks.on_down = [](const std::string&) {};
    callbacks.on_message = [&](const std::string&) {
      const std::lock_guard lock(mutex);
      ids.push_back(std::this_thread::get_id());
      changed.notify_all();
    };
    const auto hub = std::get<0>(MakeNngLinkHub("127.0.0.1:0", std::move(callbacks)));
    {
      std::unique_lock lock(mutex);
      hub->Send(hub->endpoint(), "self");
      CPPUNIT_ASSERT(changed.wait_for(lock, kHang, [&] { return !ids.empty(); }));
      CPPUNIT_ASSERT(ids[0] != std::this_thread::get_id());
    }
    hub->Close();
  }

  void ReportsPortInUseAndInvalidAddress() {
    Node first;
    CPPUNIT_ASSERT(std::holds_alternative<LinkError>(MakeNngLinkHub(first.hub->endpoint(), {})));
    CPPUNIT_ASSERT(std::holds_alternative<LinkError>(MakeNngLinkHub("nonsense", {})));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkHubTest);

}  // namespace coltsfoottide::link
