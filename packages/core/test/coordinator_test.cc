#include "coltsfoottide/core/coordinator.h"

#include "coordinator_harness.h"

namespace coltsfoottide::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::Envelope;

class CoordinatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinatorTest);
  CPPUNIT_TEST(AnswersAChainWithOneStartAndResultEach);
  CPPUNIT_TEST(AcceptedJobIsReportedRunning);
  CPPUNIT_TEST(ResubmissionGetsTheSameAnswer);
  CPPUNIT_TEST(ReusedTicketIsRefused);
  CPPUNIT_TEST(TicketOfAnotherIncarnationMayHaveRun);
  CPPUNIT_TEST(RefusedTaskIsStartedElsewhere);
  CPPUNIT_TEST(SecondBusyCausesReservations);
  CPPUNIT_TEST(OfferForAStartedTaskIsDeclined);
  CPPUNIT_TEST(ReservationsOfALeavingWorkerAreMadeElsewhere);
  CPPUNIT_TEST(LostReservationIsMadeAgain);
  CPPUNIT_TEST(UrgentTakesAFreeSlotBeforeBulk);
  CPPUNIT_TEST(FailedTaskFailsTheJob);
  CPPUNIT_TEST(WaitsWhileNoWorkerAccepts);
  CPPUNIT_TEST(DeadlineWithoutStartIsNotRun);
  CPPUNIT_TEST(DeadlineWithOutstandingStartMayHaveRun);
  CPPUNIT_TEST(UnreachableDeadlineIsRefused);
  CPPUNIT_TEST(CancelBeforeStartIsNotRun);
  CPPUNIT_TEST(CancelInvalidatesAnUnusedTicket);
  CPPUNIT_TEST(CancelAfterStartMayHaveRun);
  CPPUNIT_TEST(RefusesBeyondItsLimits);
  CPPUNIT_TEST(RefusesUnknownServiceAndImpossibleNeeds);
  CPPUNIT_TEST(AcknowledgedAnswerIsSentAgain);
  CPPUNIT_TEST(EntryRefusalHoldsForUnusedTicketsOnly);
  CPPUNIT_TEST(ResultsAreAcknowledgedInBatches);
  CPPUNIT_TEST(BackendRefusalsAreRetriedWithinTheBudget);
  CPPUNIT_TEST_SUITE_END();

  // Guards against additional messages per task at moderate load.
  void AnswersAChainWithOneStartAndResultEach() {
    CoordinatorHarness h;
    h.AddWorkers({"w1", "w2"});
    const auto before = h.coordinator.counters().other_messages;
    h.Submit(CoordinatorHarness::MakeJob(3, true));
    for (std::uint32_t index = 0; index < 3; ++index) {
      const auto [worker, envelope] = h.TakeOne(Envelope::kStart);
      CPPUNIT_ASSERT_EQUAL(index, envelope.start().task().index());
      h.Finish(worker, envelope.start().task(), "r" + std::to_string(index));
    }
    const api::JobAnswer answer = h.TakeAnswer();
    CPPUNIT_ASSERT_EQUAL(api::COMPLETE, answer.state());
    CPPUNIT_ASSERT_EQUAL(3, answer.results_size());
    CPPUNIT_ASSERT_EQUAL(std::string("r2"), answer.results(2).output());
    CPPUNIT_ASSERT_EQUAL(before, h.coordinator.counters().other_messages);
  }

  void AcceptedJobIsReportedRunning() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    const api::Ticket ticket = h.Submit(CoordinatorHarness::MakeJob(1), false);
    CPPUNIT_ASSERT_EQUAL(api::RUNNING, h.TakeAnswer().state());
    wire::Envelope wait;
    *wait.mutable_wait_job()->mutable_ticket() = ticket;
    h.Deliver("entry", wait);
    CPPUNIT_ASSERT(h.Take(Envelope::kJobReply).empty());
    const auto [worker, envelope] = h.TakeOne(Envelope::kStart);
    h.Finish(worker, envelope.start().task());
    CPPUNIT_ASSERT_EQUAL(api::COMPLETE, h.TakeAnswer().state());
  }

  // Guards against a second run of a job that an entry resubmits.
  void ResubmissionGetsTheSameAnswer() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    const auto job = CoordinatorHarness::MakeJob(1);
    const api::Ticket ticket = h.Submit(job);
    const auto [worker, envelope] = h.TakeOne(Envelope::kStart);
    h.SubmitWith(ticket, job);
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
    h.Finish(worker, envelope.start().task());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, h.Take(Envelope::kJobReply).size());
    h.SubmitWith(ticket, job);
    CPPUNIT_ASSERT_EQUAL(api::COMPLETE, h.TakeAnswer().state());
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
  }

  void ReusedTicketIsRefused() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    const api::Ticket ticket = h.Submit(CoordinatorHarness::MakeJob(1));
    h.SubmitWith(ticket, CoordinatorHarness::MakeJob(2));
    const api::Error error = h.TakeAnswer().error();
    CPPUNIT_ASSERT_EQUAL(api::TICKET_REUSED, error.reason());
    CPPUNIT_ASSERT_EQUAL(api::MAY_HAVE_RUN, error.verdict());
  }

  void TicketOfAnotherIncarnationMayHaveRun() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    api::Ticket ticket = h.ObtainTicket();
    ticket.set_incarnation(ticket.incarnation() + 1);
    h.SubmitWith(ticket, CoordinatorHarness::MakeJob(1));
    const api::Error error = h.TakeAnswer().error();
    CPPUNIT_ASSERT_EQUAL(api::COORDINATOR_LOST, error.reason());
    CPPUNIT_ASSERT_EQUAL(api::MAY_HAVE_RUN, error.verdict());
  }

  void RefusedTaskIsStartedElsewhere() {
    for (const auto refusal : {wire::BUSY, wire::NOT_PERMITTED, wire::WORKER_LEAVING}) {
      CoordinatorHarness h;
      h.AddWorkers({"w1", "w2"});
      h.Submit(CoordinatorHarness::MakeJob(1));
      const auto [first, start] = h.TakeOne(Envelope::kStart);
      h.Refuse(first, start.start(), refusal);
      const auto [second, again] = h.TakeOne(Envelope::kStart);
      CPPUNIT_ASSERT(first != second);
      h.Finish(second, again.start().task());
      CPPUNIT_ASSERT_EQUAL(2U, h.TakeAnswer().starts());
    }
  }

  void SecondBusyCausesReservations() {
    CoordinatorHarness h;
    h.AddWorkers({"w1", "w2", "w3"});
    h.queued = 2;
    wire::Envelope update;
    *update.mutable_load_update()->mutable_load() = h.MakeLoad(8, 8);
    h.Deliver("w3", update);
    h.Submit(CoordinatorHarness::MakeJob(1));
    for (int n = 0; n < 2; ++n) {
      const auto [worker, start] = h.TakeOne(Envelope::kStart);
      h.Refuse(worker, start.start(), wire::BUSY);
    }
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
    const auto reserves = h.Take(Envelope::kReserve);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, reserves.size());
    h.Offer(reserves[1].first, reserves[1].second.reserve().reservation(), 9);
    const auto [worker, start] = h.TakeOne(Envelope::kStart);
    CPPUNIT_ASSERT_EQUAL(reserves[1].first, worker);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, start.start().offer());
    h.Advance(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, h.Take(Envelope::kUnreserve).size());
  }

  // Guards against a second start through another worker's reservation.
  void OfferForAStartedTaskIsDeclined() {
    CoordinatorHarness h;
    h.queued = 1;
    h.AddWorkers({"w1", "w2"}, 0);
    h.Submit(CoordinatorHarness::MakeJob(1));
    const auto reserves = h.Take(Envelope::kReserve);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reserves.size());
    h.Offer(reserves[0].first, reserves[0].second.reserve().reservation(), 1);
    h.TakeOne(Envelope::kStart);
    h.Offer(reserves[1].first, reserves[1].second.reserve().reservation(), 2);
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, h.TakeOne(Envelope::kDecline).second.decline().offer());
  }

  // Guards against a task that waits until its deadline for a worker that has
  // dropped the task's reservation.
  void ReservationsOfALeavingWorkerAreMadeElsewhere() {
    CoordinatorHarness h;
    h.AddWorkers({"w1", "w2"}, 0);
    h.Submit(CoordinatorHarness::MakeJob(1));
    const auto first = h.TakeOne(Envelope::kReserve).first;
    wire::Envelope update;
    *update.mutable_load_update()->mutable_load() = h.MakeLoad(0, 0, false);
    h.Deliver(first, update);
    CPPUNIT_ASSERT(first != h.TakeOne(Envelope::kReserve).first);
  }

  // Guards against a task that waits until its deadline because its Reserve was
  // lost on a link on which other messages arrive.
  void LostReservationIsMadeAgain() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"}, 0);
    h.Submit(CoordinatorHarness::MakeJob(1));
    h.TakeOne(Envelope::kReserve);
    for (int n = 0; n < 11; ++n) {
      h.Advance(milliseconds(100));
      wire::Envelope update;
      *update.mutable_load_update()->mutable_load() = h.MakeLoad(0, 0);
      h.Deliver("w1", update);
    }
    h.TakeOne(Envelope::kReserve);
  }

  void UrgentTakesAFreeSlotBeforeBulk() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"}, 0);
    auto bulk = CoordinatorHarness::MakeJob(1);
    bulk.set_job_class(api::BULK);
    h.Submit(bulk);
    const api::Ticket urgent = h.Submit(CoordinatorHarness::MakeJob(1));
    h.now += milliseconds(10);
    wire::Envelope update;
    *update.mutable_load_update()->mutable_load() = h.MakeLoad(8, 6);
    h.Deliver("w1", update);
    const auto started = h.TakeOne(Envelope::kStart).second.start();
    CPPUNIT_ASSERT_EQUAL(urgent.sequence(), started.task().sequence());
  }

  void FailedTaskFailsTheJob() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    h.Submit(CoordinatorHarness::MakeJob(2, true));
    auto [worker, start] = h.TakeOne(Envelope::kStart);
    h.Finish(worker, start.start().task(), "", wire::TASK_ERROR);
    api::JobAnswer answer = h.TakeAnswer();
    CPPUNIT_ASSERT_EQUAL(api::RAN, answer.error().verdict());
    CPPUNIT_ASSERT_EQUAL(0, answer.results_size());
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
    h.Submit(CoordinatorHarness::MakeJob(1));
    start = h.TakeOne(Envelope::kStart).second;
    h.Finish(worker, start.start().task(), "", wire::OUTCOME_UNKNOWN);
    CPPUNIT_ASSERT_EQUAL(api::MAY_HAVE_RUN, h.TakeAnswer().error().verdict());
  }

  void WaitsWhileNoWorkerAccepts() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    wire::Envelope update;
    *update.mutable_load_update()->mutable_load() = h.MakeLoad(8, 0, false);
    h.Deliver("w1", update);
    h.Submit(CoordinatorHarness::MakeJob(1));
    CPPUNIT_ASSERT(h.outbox.sent.empty());
    *update.mutable_load_update()->mutable_load() = h.MakeLoad(8, 0, true);
    h.Deliver("w1", update);
    h.TakeOne(Envelope::kStart);
  }

  void DeadlineWithoutStartIsNotRun() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"}, 0);
    h.Submit(CoordinatorHarness::MakeJob(1));
    h.Advance(milliseconds(7999));
    CPPUNIT_ASSERT(h.Take(Envelope::kJobReply).empty());
    h.Advance(milliseconds(1));
    const api::Error error = h.TakeAnswer().error();
    CPPUNIT_ASSERT_EQUAL(api::NOT_RUN, error.verdict());
    CPPUNIT_ASSERT_EQUAL(api::DEADLINE_EXCEEDED, error.reason());
  }

  void DeadlineWithOutstandingStartMayHaveRun() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    auto job = CoordinatorHarness::MakeJob(1);
    job.set_deadline_ms(900);
    h.Submit(job);
    h.Advance(milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(api::MAY_HAVE_RUN, h.TakeAnswer().error().verdict());
    const auto start = h.TakeOne(Envelope::kStart).second.start();
    h.Finish("w1", start.task());
    CPPUNIT_ASSERT(h.Take(Envelope::kJobReply).empty());
    h.Advance(seconds(5));
    CPPUNIT_ASSERT_EQUAL(1, h.TakeOne(Envelope::kResultAck).second.result_ack().tasks_size());
  }

  // Guards against starting tasks of a job that, by its learned run times,
  // cannot meet its deadline: it is refused at submission or fails while it
  // waits.
  void UnreachableDeadlineIsRefused() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    h.Submit(CoordinatorHarness::MakeJob(8));
    h.now += milliseconds(100);
    for (const auto& [worker, envelope] : h.Take(Envelope::kStart)) {
      h.Finish(worker, envelope.start().task());
    }
    h.Take(Envelope::kJobReply);
    auto job = CoordinatorHarness::MakeJob(3, true);
    job.set_deadline_ms(250);
    h.Submit(job);
    CPPUNIT_ASSERT_EQUAL(api::DEADLINE_UNREACHABLE, h.TakeAnswer().error().reason());
    job.set_deadline_ms(400);
    h.Submit(job);
    h.Refuse("w1", h.TakeOne(Envelope::kStart).second.start(), wire::NOT_PERMITTED);
    h.Advance(milliseconds(100));
    const api::Error error = h.TakeAnswer().error();
    CPPUNIT_ASSERT_EQUAL(api::DEADLINE_UNREACHABLE, error.reason());
    CPPUNIT_ASSERT_EQUAL(api::NOT_RUN, error.verdict());
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
  }

  void CancelBeforeStartIsNotRun() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"}, 0);
    const api::Ticket ticket = h.Submit(CoordinatorHarness::MakeJob(4));
    h.Take(Envelope::kReserve);
    h.Cancel(ticket);
    for (const auto& [to, envelope] : h.Take(Envelope::kJobReply)) {
      CPPUNIT_ASSERT_EQUAL(api::NOT_RUN, envelope.job_reply().answer().error().verdict());
      CPPUNIT_ASSERT_EQUAL(api::CANCELLED, envelope.job_reply().answer().error().reason());
    }
    h.Advance(milliseconds(10));
    const auto unreserve = h.TakeOne(Envelope::kUnreserve).second.unreserve();
    CPPUNIT_ASSERT_EQUAL(4, unreserve.reservations_size());
  }

  // Guards against a false NOT_RUN: the submission may arrive after the
  // cancellation was answered with it.
  void CancelInvalidatesAnUnusedTicket() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    const api::Ticket ticket = h.ObtainTicket();
    h.Cancel(ticket);
    CPPUNIT_ASSERT_EQUAL(api::NOT_RUN, h.TakeAnswer().error().verdict());
    h.SubmitWith(ticket, CoordinatorHarness::MakeJob(1));
    CPPUNIT_ASSERT_EQUAL(api::NOT_RUN, h.TakeAnswer().error().verdict());
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
  }

  void CancelAfterStartMayHaveRun() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    const api::Ticket ticket = h.Submit(CoordinatorHarness::MakeJob(2, true));
    h.Cancel(ticket);
    CPPUNIT_ASSERT_EQUAL(
        api::MAY_HAVE_RUN,
        h.Take(Envelope::kJobReply)[0].second.job_reply().answer().error().verdict());
    h.Finish("w1", h.TakeOne(Envelope::kStart).second.start().task());
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
  }

  void RefusesBeyondItsLimits() {
    CoordinatorOptions options;
    options.max_jobs = 1;
    options.max_tickets = 3;
    CoordinatorHarness h(options);
    h.AddWorkers({"w1"});
    h.Submit(CoordinatorHarness::MakeJob(1));
    const api::Ticket ticket = h.Submit(CoordinatorHarness::MakeJob(1));
    api::Error error = h.TakeAnswer().error();
    CPPUNIT_ASSERT_EQUAL(api::OVERLOADED, error.reason());
    CPPUNIT_ASSERT_EQUAL(api::NOT_RUN, error.verdict());
    // The refusal still holds when the submission is repeated after a job ends.
    h.Finish("w1", h.TakeOne(Envelope::kStart).second.start().task());
    h.Take(Envelope::kJobReply);
    h.SubmitWith(ticket, CoordinatorHarness::MakeJob(1));
    CPPUNIT_ASSERT_EQUAL(api::OVERLOADED, h.TakeAnswer().error().reason());
    h.ObtainTicket();
    wire::Envelope request;
    request.mutable_ticket_request()->set_count(5);
    h.Deliver("entry", request);
    const auto reply = h.TakeOne(Envelope::kTicketReply).second.ticket_reply();
    CPPUNIT_ASSERT_EQUAL(api::OVERLOADED, reply.error().reason());
  }

  void RefusesUnknownServiceAndImpossibleNeeds() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    auto job = CoordinatorHarness::MakeJob(1);
    job.set_service("phrase-translation");
    h.Submit(job);
    CPPUNIT_ASSERT_EQUAL(api::UNKNOWN_SERVICE, h.TakeAnswer().error().reason());
    job = CoordinatorHarness::MakeJob(1);
    job.mutable_tasks(0)->mutable_needs()->set_memory_mb(1001);
    h.Submit(job);
    CPPUNIT_ASSERT_EQUAL(api::IMPOSSIBLE_NEEDS, h.TakeAnswer().error().reason());
  }

  void AcknowledgedAnswerIsSentAgain() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    const api::Ticket ticket = h.Submit(CoordinatorHarness::MakeJob(1));
    h.Finish("w1", h.TakeOne(Envelope::kStart).second.start().task());
    h.TakeAnswer();
    CPPUNIT_ASSERT(!h.coordinator.Idle());
    wire::Envelope ack;
    *ack.mutable_answer_ack()->mutable_ticket() = ticket;
    h.Deliver("entry", ack);
    CPPUNIT_ASSERT(h.coordinator.Idle());
    // The caller may have lost the answer that the entry has written.
    h.SubmitWith(ticket, CoordinatorHarness::MakeJob(1));
    CPPUNIT_ASSERT_EQUAL(api::COMPLETE, h.TakeAnswer().state());
    h.Advance(std::chrono::seconds(61));
    h.SubmitWith(ticket, CoordinatorHarness::MakeJob(1));
    const api::Error error = h.TakeAnswer().error();
    CPPUNIT_ASSERT_EQUAL(api::TICKET_RETIRED, error.reason());
    CPPUNIT_ASSERT_EQUAL(api::MAY_HAVE_RUN, error.verdict());
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
  }

  // Guards against a false NOT_RUN: an entry that has just started, or is over
  // a quota, refuses a ticket whose job runs through another entry.
  void EntryRefusalHoldsForUnusedTicketsOnly() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    const api::JobSpec job = CoordinatorHarness::MakeJob(1);
    const api::Ticket used = h.Submit(job);
    h.SubmitRefused(used, job);
    h.Finish("w1", h.TakeOne(Envelope::kStart).second.start().task());
    // One answer for each of the two submissions.
    const auto replies = h.Take(Envelope::kJobReply);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, replies.size());
    for (const auto& [endpoint, envelope] : replies) {
      CPPUNIT_ASSERT_EQUAL(api::COMPLETE, envelope.job_reply().answer().state());
    }

    const api::Ticket unused = h.ObtainTicket();
    h.SubmitRefused(unused, job);
    CPPUNIT_ASSERT_EQUAL(api::QUOTA_EXCEEDED, h.TakeAnswer().error().reason());
    // The refusal still holds when the job arrives late through another entry.
    h.SubmitWith(unused, job);
    CPPUNIT_ASSERT_EQUAL(api::NOT_RUN, h.TakeAnswer().error().verdict());
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
  }

  void ResultsAreAcknowledgedInBatches() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    h.Submit(CoordinatorHarness::MakeJob(5));
    for (const auto& [worker, envelope] : h.Take(Envelope::kStart)) {
      h.Finish(worker, envelope.start().task());
    }
    h.Advance(seconds(5));
    CPPUNIT_ASSERT_EQUAL(5, h.TakeOne(Envelope::kResultAck).second.result_ack().tasks_size());
  }

  // Guards against flooding backend servers that refuse everything.
  void BackendRefusalsAreRetriedWithinTheBudget() {
    CoordinatorHarness h;
    h.AddWorkers({"w1", "w2"});
    h.Submit(CoordinatorHarness::MakeJob(1));
    int starts = 0;
    for (int n = 0; n < 78; ++n) {
      for (const auto& [worker, envelope] : h.Take(Envelope::kStart)) {
        ++starts;
        h.Refuse(worker, envelope.start(), wire::BACKEND_REFUSED, 0);
      }
      h.Advance(milliseconds(100));
    }
    CPPUNIT_ASSERT(starts > 5);
    CPPUNIT_ASSERT(starts <= 13);
    CPPUNIT_ASSERT(h.Take(Envelope::kJobReply).empty());
    h.Advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(api::NOT_RUN, h.TakeAnswer().error().verdict());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorTest);

}  // namespace
}  // namespace coltsfoottide::core
