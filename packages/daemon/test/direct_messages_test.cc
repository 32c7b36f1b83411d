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
  CPPUNIT_TEST(SpeedSurvivesTheWire);
  CPPUNIT_TEST(DurationsOfACrashAreBounded);
  CPPUNIT_TEST(ClaimWithoutItsNeedSaysNothing);
  CPPUNIT_TEST(IsolationIsToldApartFromAFinding);
  CPPUNIT_TEST(OrderCarriesItsPriority);
  CPPUNIT_TEST(OrderNamesTheIncarnation);
  CPPUNIT_TEST(StateCarriesItsWorkByPriority);
  CPPUNIT_TEST(VerdictReturnsTheTimeOfItsClaim);
  CPPUNIT_TEST_SUITE_END();

  void CrashSurvivesTheWire() {
    direct::WorkerCrash crash;
    crash.incarnation = 1773226115535;
    crash.time = kNow - std::chrono::seconds(3);
    crash.runs = {{{{"job", 1, 7}, 2}, std::chrono::milliseconds(25), true, "lookups"}};
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
    CPPUNIT_ASSERT_EQUAL(std::string("lookups"), read.runs[0].route);
    CPPUNIT_ASSERT(read.kind == direct::WorkerCrash::Kind::kCrashed);
    // A kind of a later version counts as a crash.
    message.set_kind(99);
    CPPUNIT_ASSERT(ReadCrash(message, later).kind == direct::WorkerCrash::Kind::kCrashed);
    crash.kind = direct::WorkerCrash::Kind::kRetracted;
    WriteCrash(crash, kNow, message);
    CPPUNIT_ASSERT(ReadCrash(message, later).kind == direct::WorkerCrash::Kind::kRetracted);
  }

  // Guards against an agent that does not know which run is more urgent. An order of an
  // earlier version has priority 0.
  void OrderCarriesItsPriority() {
    direct::RunOrder order;
    order.id = {{"job", 0, 1}, 2};
    order.priority = 2;
    order.route = "lookups";
    direct_wire::Frame frame;
    AddOrder(order, kNow, frame);
    direct_wire::OrderGroup& group = *frame.mutable_orders(0);
    CPPUNIT_ASSERT_EQUAL(2U, ReadOrder(group, group.tasks(0), kNow).priority);
    CPPUNIT_ASSERT_EQUAL(order.route, ReadOrder(group, group.tasks(0), kNow).route);
    group.clear_priority();
    CPPUNIT_ASSERT_EQUAL(0U, ReadOrder(group, group.tasks(0), kNow).priority);
  }

  // Guards against an agent that cannot tell for which incarnation of its backend server an order
  // was placed. Orders for two of them may be in one frame.
  void OrderNamesTheIncarnation() {
    direct::WorkerDescription description;
    description.incarnation = 1773226115535;
    direct_wire::WorkerDescription message;
    WriteDescription(description, message);
    direct::RunOrder order;
    order.id = {{"job", 0, 1}, 2};
    order.incarnation = ReadDescription(message).incarnation;
    direct_wire::Frame frame;
    AddOrder(order, kNow, frame);
    order.incarnation = 7;
    AddOrder(order, kNow, frame);
    const auto read = [&frame](int i) {
      return ReadOrder(frame.orders(i), frame.orders(i).tasks(0), kNow).incarnation;
    };
    CPPUNIT_ASSERT_EQUAL(description.incarnation, read(0));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, read(1));
  }

  // Guards against urgent jobs that are refused for less urgent work. Further classes of a
  // later version count as the last one.
  void StateCarriesItsWorkByPriority() {
    direct::WorkerState state;
    state.queued_by_priority = {5, 0, 7, 0};
    direct_wire::WorkerState message;
    WriteState(state, message);
    CPPUNIT_ASSERT_EQUAL(3, message.queued_work_by_priority_size());
    CPPUNIT_ASSERT(ReadState(message).queued_by_priority == state.queued_by_priority);
    message.add_queued_work_by_priority(1);
    message.add_queued_work_by_priority(2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, ReadState(message).queued_by_priority[3]);
  }

  // Guards against a lease of a claim that begins at another time than its confirmation names. An
  // entry of an earlier version names none.
  void VerdictReturnsTheTimeOfItsClaim() {
    const direct::JobClaim claim{"job", 7, true, {}, kNow};
    direct_wire::JobClaim sent;
    WriteJobClaim(claim, sent);
    direct::ClaimVerdict verdict;
    verdict.claim_sent_at = ReadJobClaim(sent).sent_at;
    direct_wire::ClaimVerdict message;
    WriteVerdict(verdict, message);
    CPPUNIT_ASSERT(ReadVerdict(message)->claim_sent_at == kNow);
    message.clear_claim_sent_us();
    CPPUNIT_ASSERT(ReadVerdict(message)->claim_sent_at == core::TimePoint());
  }

  // Guards against an unknown speed of an agent of an earlier version that reads as a high one.
  void SpeedSurvivesTheWire() {
    direct::WorkerState state;
    state.run_time_ratio = 1.75;
    direct_wire::WorkerState message;
    WriteState(state, message);
    CPPUNIT_ASSERT_EQUAL(1.75, ReadState(message).run_time_ratio);
    message.clear_run_time_ratio();
    CPPUNIT_ASSERT_EQUAL(0.0, ReadState(message).run_time_ratio);
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

  // Guards against an entry that isolates a route for a finding alone, and against a field
  // that is lost or reads otherwise at the other end.
  void IsolationIsToldApartFromAFinding() {
    direct_wire::Frame sent;
    WriteIsolatedRoute("lookups", std::chrono::seconds(4), *sent.add_crashing_routes());
    WriteCrashingRoute("checks", std::chrono::seconds(3), *sent.add_crashing_routes());
    direct_wire::Frame frame;
    CPPUNIT_ASSERT(frame.ParseFromString(sent.SerializeAsString()));
    CPPUNIT_ASSERT_EQUAL(2, frame.crashing_routes_size());
    CPPUNIT_ASSERT_EQUAL(std::string("lookups"), frame.crashing_routes(0).route());
    CPPUNIT_ASSERT(frame.crashing_routes(0).isolated());
    CPPUNIT_ASSERT(ReadCrashingRouteTime(frame.crashing_routes(0), kNow) ==
                   kNow - std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::string("checks"), frame.crashing_routes(1).route());
    CPPUNIT_ASSERT(!frame.crashing_routes(1).isolated());
    CPPUNIT_ASSERT(ReadCrashingRouteTime(frame.crashing_routes(1), kNow) ==
                   kNow - std::chrono::seconds(3));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectMessagesTest);

}  // namespace
}  // namespace coltsfoottide::daemon
