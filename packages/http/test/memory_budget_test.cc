#include "coltsfoottide/http/memory_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "coltsfoottide/http/memory_holder.h"

namespace coltsfoottide::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kLimit = 1'000'000;
constexpr std::size_t kLarge = 200'000;

struct FakeHolder : MemoryHolder {
  void OnMemoryReserved() override { ++reserved; }
  void OnMemoryReclaimed() override { ++reclaimed; }
  int reserved = 0;
  int reclaimed = 0;
};

}  // namespace

class MemoryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryBudgetTest);
  CPPUNIT_TEST(ServesLargeBodiesInTurn);
  CPPUNIT_TEST(ClosesStalledBodiesForThoseThatWait);
  CPPUNIT_TEST(LeavesRoomForSmallRequests);
  CPPUNIT_TEST(ClosesWhatHasHeldTheMostForTheLongest);
  CPPUNIT_TEST(ClosesRequestsInProgressLast);
  CPPUNIT_TEST(ForgetsWaitingHolderThatCloses);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against bodies that each get a part of the memory, so that none is completed.
  void ServesLargeBodiesInTurn() {
    std::vector<FakeHolder> holders(5);
    for (FakeHolder& it : holders) budget_.Add(it, now_);
    for (std::size_t i = 0; i < 3; ++i) CPPUNIT_ASSERT(budget_.Reserve(holders[i], kLarge, now_));
    CPPUNIT_ASSERT(!budget_.Reserve(holders[3], kLarge, now_));
    CPPUNIT_ASSERT(!budget_.Reserve(holders[4], kLarge, now_));
    budget_.Remove(holders[0]);
    budget_.Advance(now_);
    CPPUNIT_ASSERT_EQUAL(1, holders[3].reserved);
    CPPUNIT_ASSERT_EQUAL(0, holders[4].reserved);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget_.closed());
    for (FakeHolder& it : holders) budget_.Remove(it);
  }

  // Guards against bodies without their last byte that keep all others waiting.
  void ClosesStalledBodiesForThoseThatWait() {
    std::vector<FakeHolder> holders(4);
    for (FakeHolder& it : holders) {
      budget_.Add(it, now_);
      budget_.Reserve(it, kLarge, now_);
    }
    budget_.Advance(now_ + MemoryBudget::kMinHoldTime - milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget_.closed());
    budget_.Advance(now_ + MemoryBudget::kMinHoldTime);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, budget_.closed());
    // What is being closed is still held.
    CPPUNIT_ASSERT_EQUAL(0, holders[3].reserved);
    for (std::size_t i = 0; i < 3; ++i) {
      if (holders[i].reclaimed > 0) budget_.Remove(holders[i]);
    }
    budget_.Advance(now_ + MemoryBudget::kMinHoldTime);
    CPPUNIT_ASSERT_EQUAL(1, holders[3].reserved);
    for (FakeHolder& it : holders) budget_.Remove(it);
  }

  // Guards against large bodies that use up the room of small requests.
  void LeavesRoomForSmallRequests() {
    std::vector<FakeHolder> large(20);
    for (FakeHolder& it : large) {
      budget_.Add(it, now_);
      budget_.Reserve(it, kLarge, now_);
    }
    std::vector<FakeHolder> small(20);
    for (FakeHolder& it : small) {
      budget_.Add(it, now_);
      budget_.Set(it, 10'000, false, now_);
      CPPUNIT_ASSERT(!budget_.IsExceeded());
    }
    budget_.Advance(now_);
    for (FakeHolder& it : small) CPPUNIT_ASSERT_EQUAL(0, it.reclaimed);
    for (FakeHolder& it : small) budget_.Remove(it);
    for (FakeHolder& it : large) budget_.Remove(it);
  }

  void ClosesWhatHasHeldTheMostForTheLongest() {
    FakeHolder idle;
    FakeHolder old_large;
    FakeHolder new_large;
    FakeHolder new_larger;
    Hold(idle, 8'000, now_);
    Hold(old_large, 300'000, now_ + seconds(58));
    Hold(new_large, 300'000, now_ + seconds(59));
    budget_.Advance(now_ + seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget_.closed());
    Hold(new_larger, 400'000, now_ + milliseconds(59'990));
    budget_.Advance(now_ + seconds(60));
    CPPUNIT_ASSERT_EQUAL(1, old_large.reclaimed);
    CPPUNIT_ASSERT_EQUAL(0, new_large.reclaimed + new_larger.reclaimed + idle.reclaimed);
    for (FakeHolder* it : {&idle, &old_large, &new_large, &new_larger}) budget_.Remove(*it);
  }

  void ClosesRequestsInProgressLast() {
    FakeHolder in_progress;
    FakeHolder receiving;
    Hold(in_progress, 900'000, now_);
    budget_.Set(in_progress, 900'000, true, now_);
    Hold(receiving, 200'000, now_ + seconds(1));
    budget_.Advance(now_ + seconds(2));
    CPPUNIT_ASSERT_EQUAL(0, in_progress.reclaimed);
    CPPUNIT_ASSERT_EQUAL(1, receiving.reclaimed);
    budget_.Set(in_progress, 1'100'000, true, now_ + seconds(2));
    budget_.Advance(now_ + seconds(2));
    CPPUNIT_ASSERT_EQUAL(1, in_progress.reclaimed);
    budget_.Remove(in_progress);
    budget_.Remove(receiving);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget_.held());
  }

  // Guards against a call to a connection that has been destroyed.
  void ForgetsWaitingHolderThatCloses() {
    FakeHolder large;
    Hold(large, 700'000, now_);
    {
      FakeHolder waiting;
      budget_.Add(waiting, now_);
      CPPUNIT_ASSERT(!budget_.Reserve(waiting, kLarge, now_));
      CPPUNIT_ASSERT(budget_.NeedsAdvance());
      budget_.Remove(waiting);
    }
    CPPUNIT_ASSERT(!budget_.NeedsAdvance());
    budget_.Remove(large);
    budget_.Advance(now_);
  }

 private:
  void Hold(FakeHolder& holder, std::size_t bytes, MemoryBudget::Clock::time_point now) {
    budget_.Add(holder, now);
    budget_.Set(holder, bytes, false, now);
  }

  MemoryBudget budget_{kLimit};
  MemoryBudget::Clock::time_point now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

}  // namespace coltsfoottide::http
