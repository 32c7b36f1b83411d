#include <cppunit/extensions/HelperMacros.h>

#include "worker_harness.h"

namespace coltsfoottide::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Behaviour of a worker at its bounds and timeouts, and its load updates.
class WorkerLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerLimitsTest);
  CPPUNIT_TEST(ReportsTasksWithDroppedResultsAsFinished);
  CPPUNIT_TEST(DropsResultsAfterTheirTimeout);
  CPPUNIT_TEST(RefusesATaskThatTheBackendRefused);
  CPPUNIT_TEST(ReportsAFailedCallAsUnknown);
  CPPUNIT_TEST(RemovesInactiveCoordinators);
  CPPUNIT_TEST(RefusesReservationsBeyondTheBound);
  CPPUNIT_TEST(DropsReservationsWhenLeaving);
  CPPUNIT_TEST(LimitsTheRateOfLoadUpdates);
  CPPUNIT_TEST(SendsLoadUpdateWhenThePermissionExpires);
  CPPUNIT_TEST(OpensOneSlotAfterTheProbationDelay);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a second start: after NEVER_STARTED the coordinator would
  // start the task elsewhere.
  void ReportsTasksWithDroppedResultsAsFinished() {
    WorkerOptions options;
    options.max_result_bytes = 1000;
    WorkerHarness it(options);
    const std::uint64_t session = it.Hello(1);
    for (std::uint64_t n = 1; n <= 2; ++n) {
      it.Start(1, session, n);
      it.Done(1, n, BackendOutcome::kDone, std::string(600, 'x'));
    }
    it.Resolve(1, session, 0, {1});
    CPPUNIT_ASSERT_EQUAL(
        wire::FINISHED,
        it.outbox.Last(&wire::Envelope::has_resolved).resolved().items(0).standing());
    CPPUNIT_ASSERT_EQUAL(wire::OUTCOME_UNKNOWN, it.last().result().outcome());
    it.Resolve(1, session, 0, {2});
    CPPUNIT_ASSERT_EQUAL(wire::DONE, it.last().result().outcome());
  }

  void DropsResultsAfterTheirTimeout() {
    WorkerHarness it;
    it.Start(1, it.Hello(1), 1);
    it.Done(1, 1);
    it.Advance(seconds(59));
    CPPUNIT_ASSERT(!it.worker.Idle());
    it.Advance(seconds(2));
    CPPUNIT_ASSERT(it.worker.Idle());
  }

  void RefusesATaskThatTheBackendRefused() {
    WorkerHarness it;
    const std::uint64_t session = it.Hello(1);
    it.Start(1, session, 1);
    it.Advance(milliseconds(1));
    it.Done(1, 1, BackendOutcome::kNotRun);
    const wire::Refused refused = it.outbox.Last(&wire::Envelope::has_refused).refused();
    CPPUNIT_ASSERT_EQUAL(wire::BACKEND_REFUSED, refused.refusal());
    CPPUNIT_ASSERT_EQUAL(4U, refused.load().slots());
    // The coordinator may place the task here again.
    wire::Envelope again = it.MakeStart(1, session, 2);
    *again.mutable_start()->mutable_task() = it.Task(1, 1);
    it.Receive(1, again);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.backend.runs.size());
  }

  void ReportsAFailedCallAsUnknown() {
    WorkerHarness it;
    it.Start(1, it.Hello(1), 1);
    it.Done(1, 1, BackendOutcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(wire::OUTCOME_UNKNOWN, it.last().result().outcome());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it.worker.counters().failures);
  }

  // Guards against starts by a coordinator that resumes after a long pause with
  // outdated state.
  void RemovesInactiveCoordinators() {
    WorkerHarness it;
    const std::uint64_t session = it.Hello(1);
    it.Advance(minutes(10));
    it.Start(1, session, 1);
    CPPUNIT_ASSERT_EQUAL(wire::UNKNOWN_SESSION, it.last().refused().refusal());
    it.Resolve(1, session, 0, {1});
    CPPUNIT_ASSERT(!it.last().resolved().known());
    CPPUNIT_ASSERT(session != it.Hello(1));
  }

  void RefusesReservationsBeyondTheBound() {
    WorkerOptions options;
    options.slots = 1;
    options.max_reservations = 2;
    WorkerHarness it(options);
    const std::uint64_t session = it.Hello(1);
    it.Start(1, session, 1);
    for (std::uint64_t n = 1; n <= 3; ++n) {
      it.Reserve(1, session, n);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, it.last().reserve_refused().reservation());
    CPPUNIT_ASSERT_EQUAL(wire::BUSY, it.last().reserve_refused().refusal());
    // A crashed coordinator's reservations must not take slots.
    it.Advance(seconds(10));
    CPPUNIT_ASSERT_EQUAL(0U, it.worker.CurrentLoad(it.now).queued());
  }

  void DropsReservationsWhenLeaving() {
    WorkerOptions options;
    options.slots = 1;
    WorkerHarness it(options);
    const std::uint64_t session = it.Hello(1);
    it.Hello(2);
    it.Start(1, session, 1);
    it.Reserve(1, session, 5);
    it.Advance(milliseconds(100));
    it.worker.BeginLeave(it.now);
    const wire::ReserveRefused refused =
        it.outbox.Last(&wire::Envelope::has_reserve_refused).reserve_refused();
    CPPUNIT_ASSERT_EQUAL(wire::WORKER_LEAVING, refused.refusal());
    CPPUNIT_ASSERT(!refused.load().accepting());
    CPPUNIT_ASSERT_EQUAL(it.EndpointOf(2), it.outbox.sent.back().first);
    CPPUNIT_ASSERT(!it.last().load_update().load().accepting());
    it.Done(1, 1);
    CPPUNIT_ASSERT_EQUAL(0L, it.outbox.Count(&wire::Envelope::has_offer));
  }

  void LimitsTheRateOfLoadUpdates() {
    WorkerOptions options;
    options.slots = 1;
    WorkerHarness it(options);
    const std::uint64_t session = it.Hello(1);
    const std::uint64_t other = it.Hello(2);
    it.Start(1, session, 1);
    it.Start(2, other, 2);
    CPPUNIT_ASSERT_EQUAL(wire::BUSY, it.last().refused().refusal());
    it.Done(1, 1);
    CPPUNIT_ASSERT_EQUAL(0L, it.outbox.Count(&wire::Envelope::has_load_update));
    it.Advance(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(1L, it.outbox.Count(&wire::Envelope::has_load_update));
    CPPUNIT_ASSERT_EQUAL(it.EndpointOf(2), it.outbox.sent.back().first);
    it.Advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(1L, it.outbox.Count(&wire::Envelope::has_load_update));
    // Coordinators that no longer send work get no update.
    it.Start(1, session, 3);
    it.Start(2, other, 4);
    it.Advance(seconds(6));
    it.Done(1, 3);
    it.Advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(1L, it.outbox.Count(&wire::Envelope::has_load_update));
  }

  void SendsLoadUpdateWhenThePermissionExpires() {
    WorkerHarness it;
    it.Hello(1);
    it.now += milliseconds(3001);
    it.worker.Tick(it.now);
    CPPUNIT_ASSERT(!it.last().load_update().load().accepting());
    it.Advance(milliseconds(100));
    CPPUNIT_ASSERT(it.last().load_update().load().accepting());
    // After the interruption the slots open in steps.
    CPPUNIT_ASSERT_EQUAL(2U, it.last().load_update().load().slots());
  }

  void OpensOneSlotAfterTheProbationDelay() {
    WorkerHarness it;
    const std::uint64_t session = it.Hello(1);
    it.worker.SetEjected(true, it.now);
    it.Start(1, session, 1);
    CPPUNIT_ASSERT_EQUAL(wire::BUSY, it.last().refused().refusal());
    it.Advance(seconds(5));
    CPPUNIT_ASSERT_EQUAL(1U, it.last().load_update().load().slots());
    it.Start(1, session, 2);
    it.Start(1, session, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.backend.runs.size());
    it.worker.SetEjected(false, it.now);
    CPPUNIT_ASSERT_EQUAL(2U, it.worker.CurrentLoad(it.now).slots());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerLimitsTest);

}  // namespace
}  // namespace coltsfoottide::core
