#include "direct_messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <limits>

namespace coltsfoottide::daemon {
namespace {

constexpr core::TimePoint kNow{std::chrono::hours(100)};

class DirectMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectMessagesTest);
  CPPUNIT_TEST(CrashSurvivesTheWire);
  CPPUNIT_TEST(DurationsOfACrashAreBounded);
  CPPUNIT_TEST(ClaimWithoutItsNeedSaysNothing);
  CPPUNIT_TEST_SUITE_END();

  void CrashSurvivesTheWire() {
    direct::WorkerCrash crash;
    crash.incarnation = 1773226115535;
    crash.time = kNow - std::chrono::seconds(3);
    crash.runs = {{{{"job", 1, 7}, 2}, std::chrono::milliseconds(25), true}};
    direct_wire::WorkerCrash message;
    WriteCrash(crash, kNow, message);
    const core::TimePoint later = kNow + std::chrono::seconds(40);
    const direct::WorkerCrash read = ReadCrash(message, later);
    CPPUNIT_ASSERT_EQUAL(crash.incarnation, read.incarnation);
    CPPUNIT_ASSERT(read.time == later - std::chrono::seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.runs.size());
    CPPUNIT_ASSERT(read.runs[0].id == crash.runs[0].id);
    CPPUNIT_ASSERT(read.runs[0].ran_for == crash.runs[0].ran_for);
    CPPUNIT_ASSERT(read.runs[0].confirmed);
  }

  // Guards against times that overflow, which a peer with a fault may send.
  void DurationsOfACrashAreBounded() {
    direct_wire::WorkerCrash message;
    message.set_age_us(std::numeric_limits<std::uint64_t>::max());
    message.add_runs()->set_ran_for_us(std::numeric_limits<std::uint64_t>::max());
    const direct::WorkerCrash read = ReadCrash(message, kNow);
    CPPUNIT_ASSERT(read.time < kNow && read.time > core::TimePoint());
    CPPUNIT_ASSERT(read.runs[0].ran_for > core::Duration::zero());
  }

  // An entry of an earlier version claims runs without what they need. Guards against
  // taking that for a run that needs nothing.
  void ClaimWithoutItsNeedSaysNothing() {
    direct_wire::Frame frame;
    WriteClaim({{"job", 0, 1}, 2}, {6000, 64, 0}, frame);
    CPPUNIT_ASSERT(ReadClaimNeed(frame, 0) == (direct::Resources{6000, 64, 0}));
    frame.clear_claim_needs();
    CPPUNIT_ASSERT(!ReadClaimNeed(frame, 0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectMessagesTest);

}  // namespace
}  // namespace coltsfoottide::daemon
