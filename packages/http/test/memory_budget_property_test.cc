#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <tuple>
#include <vector>

#include "coltsfoottide/http/memory_budget.h"
#include "coltsfoottide/http/memory_holder.h"

namespace coltsfoottide::http {
namespace {

constexpr std::size_t kLimit = 4'000'000;
constexpr std::size_t kHolders = 40;
constexpr std::size_t kMaxBody = 262'144;

// Connections that reserve, hold, release and close in any order, and close when they are told
// to, at once or later. Keeps its own account beside that of the budget.
class RandomClients {
 public:
  using Op = std::tuple<unsigned, unsigned, unsigned>;

  void Step(const Op& op) {
    const auto [action, which, value] = op;
    Client& client = clients_[which % kHolders];
    switch (action % 7) {
      case 0:
        if (!client.open) Open(client);
        break;
      case 1:
        if (client.open) Close(client);
        break;
      case 2:
        if (client.open && client.wanted == 0) Reserve(client, 1 + value % kMaxBody);
        break;
      case 3:
        if (client.open && client.wanted == 0) Hold(client, value % kMaxBody, false);
        break;
      case 4:
        if (client.open && client.wanted == 0) Hold(client, value % kMaxBody, true);
        break;
      case 5:
        now_ += std::chrono::milliseconds(value % 2000);
        break;
      default:
        Advance(value % 2 == 0);
    }
    Check();
  }

  // Closes all that is open, and expects that nothing is left.
  void End() {
    for (Client& it : clients_) {
      if (it.open) Close(it);
    }
    RC_ASSERT(budget_.held() == 0U);
    RC_ASSERT(budget_.holders() == 0U);
    RC_ASSERT(!budget_.NeedsAdvance());
  }

 private:
  struct Client : MemoryHolder {
    void OnMemoryReserved() override {
      RC_ASSERT(open);
      RC_ASSERT(wanted > 0U);
      bytes += wanted;
      wanted = 0;
    }
    void OnMemoryReclaimed() override {
      RC_ASSERT(open);
      RC_ASSERT(!reclaimed);
      reclaimed = true;
    }
    bool open = false;
    bool reclaimed = false;
    std::size_t bytes = 0;
    std::size_t wanted = 0;
  };

  void Open(Client& client) {
    client = Client();
    client.open = true;
    budget_.Add(client, now_);
  }
  void Close(Client& client) {
    client.open = false;
    budget_.Remove(client);
  }
  void Reserve(Client& client, std::size_t n) {
    const bool others_wait = budget_.waiting() > 0;
    const std::size_t held = budget_.held();
    if (budget_.Reserve(client, n, now_)) {
      RC_ASSERT(!others_wait);
      client.bytes += n;
    } else {
      // Nobody waits while a quarter of the budget and the bytes are free.
      RC_ASSERT(others_wait || held + n > kLimit - kLimit / 4);
      client.wanted = n;
    }
  }
  void Hold(Client& client, std::size_t n, bool in_progress) {
    client.bytes = n;
    budget_.Set(client, n, in_progress, now_);
  }
  void Advance(bool close) {
    const bool needed = budget_.NeedsAdvance();
    const std::uint64_t closed = budget_.closed();
    budget_.Advance(now_);
    // Nothing is closed while the budget suffices.
    RC_ASSERT(needed || budget_.closed() == closed);
    RC_ASSERT(!budget_.IsExceeded());
    for (Client& it : clients_) {
      if (close && it.open && it.reclaimed) Close(it);
    }
  }
  void Check() const {
    std::size_t held = 0;
    std::size_t open = 0;
    std::size_t waiting = 0;
    for (const Client& it : clients_) {
      if (!it.open) continue;
      ++open;
      held += it.bytes;
      waiting += it.wanted > 0 ? 1 : 0;
    }
    RC_ASSERT(budget_.held() == held);
    RC_ASSERT(budget_.holders() == open);
    RC_ASSERT(budget_.waiting() <= waiting);
  }

  MemoryBudget budget_{kLimit};
  std::vector<Client> clients_ = std::vector<Client>(kHolders);
  MemoryBudget::Clock::time_point now_{std::chrono::seconds(1000)};
};

}  // namespace

class MemoryBudgetPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryBudgetPropertyTest);
  CPPUNIT_TEST(CountsWhatIsHeld);
  CPPUNIT_TEST(RefusesNobodyWithinTheLimits);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an account that drifts from what is held, becomes negative, or keeps bytes
  // of closed connections.
  void CountsWhatIsHeld() {
    CPPUNIT_ASSERT(rc::check([](const std::vector<RandomClients::Op>& ops) {
      RandomClients clients;
      for (const RandomClients::Op& it : ops) clients.Step(it);
      clients.End();
    }));
  }

  // Guards against a connection of an ordinary client that waits or is closed on the smallest
  // machine: 2,306 connections, each with a request of up to 10 kB, for any
  // time, with the budget of 120 MB (ClientBudgetBytes).
  void RefusesNobodyWithinTheLimits() {
    CPPUNIT_ASSERT(rc::check([](const std::vector<unsigned>& sizes, unsigned ms) {
      struct Idle : MemoryHolder {
        void OnMemoryReserved() override { RC_FAIL("waited"); }
        void OnMemoryReclaimed() override { RC_FAIL("closed"); }
      };
      constexpr std::size_t kConnections = 2306;
      constexpr std::size_t kConnectionBytes = 20 * 1024;
      constexpr std::size_t kMaxRequest = 10'000;
      MemoryBudget budget(std::size_t{70} * 1024 * 1024);
      MemoryBudget::Clock::time_point now{std::chrono::seconds(1000)};
      std::vector<Idle> clients(kConnections);
      for (std::size_t i = 0; i < kConnections; ++i) {
        const std::size_t n = sizes.empty() ? kMaxRequest : sizes[i % sizes.size()] % kMaxRequest;
        budget.Add(clients[i], now);
        budget.Set(clients[i], kConnectionBytes + n, n % 2 == 0, now);
      }
      now += std::chrono::milliseconds(ms % 100'000);
      budget.Advance(now);
      RC_ASSERT(!budget.NeedsAdvance());
      for (Idle& it : clients) budget.Remove(it);
      RC_ASSERT(budget.held() == 0U);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetPropertyTest);

}  // namespace coltsfoottide::http
