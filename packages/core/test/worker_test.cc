#include "coltsfoottide/core/worker.h"

#include <cppunit/extensions/HelperMacros.h>

#include "worker_harness.h"

namespace coltsfoottide::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class WorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerTest);
  CPPUNIT_TEST(RunsATaskAndSendsItsResult);
  CPPUNIT_TEST(GivesTheSameSessionToARepeatedHello);
  CPPUNIT_TEST(NeverStartsADuplicate);
  CPPUNIT_TEST(RefusesStartsWithTheReason);
  CPPUNIT_TEST(ChecksThePermissionAtTheStart);
  CPPUNIT_TEST(RefusesDelayedStartsAfterAResolve);
  CPPUNIT_TEST(OffersFreeSlotsInOrder);
  CPPUNIT_TEST(RefusesAStartThatAnswersAnExpiredOffer);
  CPPUNIT_TEST(KeepsASlotFreeOfBulk);
  CPPUNIT_TEST_SUITE_END();

  void RunsATaskAndSendsItsResult() {
    WorkerHarness it;
    it.Start(1, it.Hello(1), 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.backend.runs.size());
    // The time limit is the budget of 1 s plus a margin for an answer that
    // arrives at the deadline.
    CPPUNIT_ASSERT(it.backend.limits[0] > seconds(1));
    CPPUNIT_ASSERT(it.backend.limits[0] < milliseconds(1200));
    it.Advance(milliseconds(30));
    it.Done(1, 1);
    CPPUNIT_ASSERT_EQUAL(wire::DONE, it.last().result().outcome());
    CPPUNIT_ASSERT_EQUAL(std::string("out"), it.last().result().output());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30'000}, it.last().result().run_us());
    CPPUNIT_ASSERT_EQUAL(8U, it.last().result().load().slots());
    CPPUNIT_ASSERT(!it.worker.Idle());
    wire::Envelope ack;
    *ack.mutable_result_ack()->add_tasks() = it.Task(1, 1);
    it.Receive(1, ack);
    CPPUNIT_ASSERT(it.worker.Idle());
  }

  void GivesTheSameSessionToARepeatedHello() {
    WorkerHarness it;
    const std::uint64_t session = it.Hello(1, 5);
    CPPUNIT_ASSERT_EQUAL(session, it.Hello(1, 5));
    CPPUNIT_ASSERT(session != it.Hello(1, 6));
    CPPUNIT_ASSERT(session != it.Hello(2, 5));
  }

  // Guards against a second run, which the customer would be billed for twice: a
  // coordinator repeats a Start whose reply was lost.
  void NeverStartsADuplicate() {
    WorkerHarness it;
    const std::uint64_t session = it.Hello(1);
    it.Start(1, session, 1);
    const std::size_t sent = it.outbox.sent.size();
    it.Start(1, session, 1);
    CPPUNIT_ASSERT_EQUAL(sent, it.outbox.sent.size());
    it.Done(1, 1);
    it.Start(1, session, 1);
    CPPUNIT_ASSERT_EQUAL(sent + 2, it.outbox.sent.size());
    CPPUNIT_ASSERT_EQUAL(wire::DONE, it.last().result().outcome());
    wire::Envelope ack;
    *ack.mutable_result_ack()->add_tasks() = it.Task(1, 1);
    it.Receive(1, ack);
    it.Start(1, session, 1);
    wire::Envelope late = it.MakeStart(1, session, 2);
    *late.mutable_start()->mutable_task() = it.Task(1, 1);
    it.Receive(1, late);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.backend.runs.size());
    it.Resolve(1, session, 2, {1});
    CPPUNIT_ASSERT_EQUAL(wire::FINISHED, it.last().resolved().items(0).standing());
  }

  void RefusesStartsWithTheReason() {
    WorkerHarness it;
    const std::uint64_t session = it.Hello(1);
    AssertRefused(it, wire::UNKNOWN_SESSION, it.MakeStart(1, session + 1, 1));
    wire::Envelope start = it.MakeStart(1, session, 2);
    start.mutable_start()->set_budget_us(0);
    AssertRefused(it, wire::EXPIRED, start);
    start = it.MakeStart(1, session, 3);
    start.mutable_start()->set_payload(std::string(64 * 1024 + 1, 'x'));
    AssertRefused(it, wire::TOO_LARGE, start);
    it.worker.OnBackendHealth(false, 8, it.now);
    AssertRefused(it, wire::BACKEND_REFUSED, it.MakeStart(1, session, 4));
    it.worker.OnBackendHealth(true, 8, it.now);
    it.permission.OnConfig(1, true);
    AssertRefused(it, wire::NOT_PERMITTED, it.MakeStart(1, session, 5));
    it.permission.OnConfig(2, false);
    for (std::uint64_t n = 10; n < 18; ++n) {
      it.Start(1, session, n);
    }
    CPPUNIT_ASSERT_EQUAL(8U, it.worker.running());
    AssertRefused(it, wire::BUSY, it.MakeStart(1, session, 18));
    it.Done(1, 10);
    it.worker.BeginLeave(it.now);
    AssertRefused(it, wire::WORKER_LEAVING, it.MakeStart(1, session, 19));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, it.backend.runs.size());
  }

  // Guards against starts after a pause of the agent: it resumes with queued
  // messages and without an event for the expired permission.
  void ChecksThePermissionAtTheStart() {
    WorkerHarness it;
    const std::uint64_t session = it.Hello(1);
    it.now += milliseconds(3001);
    AssertRefused(it, wire::NOT_PERMITTED, it.MakeStart(1, session, 1));
    it.Renew();
    it.Start(1, session, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.backend.runs.size());
  }

  // Guards against a second start: the coordinator places a never-started task
  // elsewhere, so the first Start must not run if the silent connection delivers
  // it later.
  void RefusesDelayedStartsAfterAResolve() {
    WorkerHarness it;
    const std::uint64_t session = it.Hello(1);
    it.Start(1, session, 1);
    it.Start(1, session, 2);
    it.Done(1, 2);
    it.Resolve(1, session, 3, {1, 2, 3});
    const auto& sent = it.outbox.sent;
    const wire::Resolved& resolved = sent[sent.size() - 2].second.resolved();
    CPPUNIT_ASSERT(resolved.known());
    CPPUNIT_ASSERT_EQUAL(wire::RUNNING, resolved.items(0).standing());
    CPPUNIT_ASSERT_EQUAL(wire::FINISHED, resolved.items(1).standing());
    CPPUNIT_ASSERT_EQUAL(wire::NEVER_STARTED, resolved.items(2).standing());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, it.last().result().task().sequence());
    AssertRefused(it, wire::BELOW_FLOOR, it.MakeStart(1, session, 3));
    it.Start(1, session, 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, it.backend.runs.size());
  }

  void OffersFreeSlotsInOrder() {
    WorkerHarness it(OneSlot());
    const std::uint64_t session = it.Hello(1);
    it.Start(1, session, 1);
    it.Reserve(1, session, 11, api::BULK, 1000);
    it.Reserve(1, session, 12, api::URGENT, 900'000);
    it.Reserve(1, session, 13, api::URGENT, 800'000);
    it.Done(1, 1);
    AssertOffer(it, 13);
    wire::Envelope decline;
    decline.mutable_decline()->set_session(session);
    decline.mutable_decline()->set_offer(1);
    it.Receive(1, decline);
    AssertOffer(it, 12);
    wire::Envelope start = it.MakeStart(1, session, 2);
    start.mutable_start()->set_offer(2);
    it.Receive(1, start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.backend.runs.size());
  }

  void RefusesAStartThatAnswersAnExpiredOffer() {
    WorkerHarness it(OneSlot());
    const std::uint64_t session = it.Hello(1);
    it.Reserve(1, session, 11);
    it.Reserve(1, session, 12);
    AssertOffer(it, 11);
    it.Advance(milliseconds(50));
    AssertOffer(it, 12);
    wire::Envelope start = it.MakeStart(1, session, 1);
    start.mutable_start()->set_offer(1);
    AssertRefused(it, wire::BUSY, start);
    it.now += milliseconds(50);
    // Both offers have expired and the slot is free.
    start = it.MakeStart(1, session, 2);
    start.mutable_start()->set_offer(2);
    it.Receive(1, start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.backend.runs.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, it.worker.counters().offers_expired);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, it.worker.counters().expired_offer_starts);
  }

  void KeepsASlotFreeOfBulk() {
    WorkerHarness it;
    const std::uint64_t session = it.Hello(1);
    for (std::uint64_t n = 1; n <= 7; ++n) {
      it.Start(1, session, n, api::BULK);
    }
    AssertRefused(it, wire::BUSY, it.MakeStart(1, session, 8, api::BULK));
    it.Start(1, session, 9);
    CPPUNIT_ASSERT_EQUAL(8U, it.worker.running());
  }

  static WorkerOptions OneSlot() {
    WorkerOptions options;
    options.slots = 1;
    return options;
  }

  static void AssertRefused(WorkerHarness& it, wire::StartRefusal refusal,
                            const wire::Envelope& start) {
    const std::size_t runs = it.backend.runs.size();
    it.Receive(1, start);
    const wire::Refused refused = it.outbox.Last(&wire::Envelope::has_refused).refused();
    CPPUNIT_ASSERT_EQUAL(refusal, refused.refusal());
    CPPUNIT_ASSERT_EQUAL(start.start().link_sequence(), refused.link_sequence());
    CPPUNIT_ASSERT_EQUAL(runs, it.backend.runs.size());
  }

  static void AssertOffer(const WorkerHarness& it, std::uint64_t reservation) {
    CPPUNIT_ASSERT_EQUAL(reservation,
                         it.outbox.Last(&wire::Envelope::has_offer).offer().reservation());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerTest);

}  // namespace
}  // namespace coltsfoottide::core
