#include "coltsfoottide/core/job_router.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>

#include "router_harness.h"

namespace coltsfoottide::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class JobRouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobRouterTest);
  CPPUNIT_TEST(AnswersASubmitAndAcknowledgesIt);
  CPPUNIT_TEST(RefusesASubmitWithoutATicket);
  CPPUNIT_TEST(ServesTicketsFromSeveralCoordinators);
  CPPUNIT_TEST(RefusesTicketsWhenNoCoordinatorIssuesThem);
  CPPUNIT_TEST(RequestsTicketsAgainWithinOneSecond);
  CPPUNIT_TEST(ResendsToASilentCoordinatorThenFailsTheCall);
  CPPUNIT_TEST(KeepsALongJobOfALiveCoordinator);
  CPPUNIT_TEST(FollowsAMovedTicket);
  CPPUNIT_TEST(FailsCallsOfAReplacedProcess);
  CPPUNIT_TEST(IgnoresRepliesToOtherCalls);
  CPPUNIT_TEST(ReturnsRunningAfterTheWaitTime);
  CPPUNIT_TEST(RepeatsAStatusWithoutAReply);
  CPPUNIT_TEST(RequestsALostAnswerAgain);
  CPPUNIT_TEST(ListsWhatArrivedInTime);
  CPPUNIT_TEST_SUITE_END();

  void AnswersASubmitAndAcknowledgesIt() {
    RouterHarness it;
    it.Submit(7, it.MakeTicket(1, 100));
    const wire::SubmitJob submit = it.last().submit_job();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, submit.ticket().sequence());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{60'000'000}, submit.budget_us());
    it.Reply(1, submit.request(), api::RUNNING);
    CPPUNIT_ASSERT(it.sink.jobs.empty());
    it.Reply(1, submit.request(), api::COMPLETE);
    it.Reply(1, submit.request(), api::COMPLETE);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.sink.jobs.size());
    CPPUNIT_ASSERT_EQUAL(api::COMPLETE, it.sink.jobs[0].second.answer().state());
    it.router.OnDelivered(7, it.now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, it.last().answer_ack().ticket().sequence());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.router.pending());
  }

  void RefusesASubmitWithoutATicket() {
    RouterHarness it;
    it.Submit(7, api::Ticket());
    AssertFailed(it, api::NOT_RUN, api::TICKET_REQUIRED);
    CPPUNIT_ASSERT(it.outbox.sent.empty());
  }

  void ServesTicketsFromSeveralCoordinators() {
    RouterHarness it;
    it.SetCoordinators({1, 2, 3});
    it.ObtainTickets(1, 3);
    CPPUNIT_ASSERT(it.sink.tickets.empty());
    it.IssueTickets();
    CPPUNIT_ASSERT_EQUAL(3, it.sink.tickets.at(0).second.tickets_size());
    it.ObtainTickets(2, 3);
    const auto& tickets = it.sink.tickets.at(1).second.tickets();
    CPPUNIT_ASSERT_EQUAL(3, tickets.size());
    CPPUNIT_ASSERT(tickets[0].endpoint() != tickets[1].endpoint());
    CPPUNIT_ASSERT(tickets[1].endpoint() != tickets[2].endpoint());
  }

  void RefusesTicketsWhenNoCoordinatorIssuesThem() {
    RouterHarness it;
    it.SetCoordinators({1, 2});
    it.ObtainTickets(1, 1);
    it.Run(milliseconds(999));
    CPPUNIT_ASSERT(it.sink.tickets.empty());
    it.Run(milliseconds(1));
    const api::Error& error = it.sink.tickets.at(0).second.error();
    CPPUNIT_ASSERT_EQUAL(api::NOT_RUN, error.verdict());
    CPPUNIT_ASSERT_EQUAL(api::NO_WORKER, error.reason());
  }

  // Guards against refused callers after a short pause or a broken connection of
  // the only coordinator.
  void RequestsTicketsAgainWithinOneSecond() {
    RouterHarness late;
    late.SetCoordinators({1});
    late.ObtainTickets(1, 1);
    late.Run(milliseconds(300));
    late.IssueTickets();
    CPPUNIT_ASSERT_EQUAL(1, late.sink.tickets.at(0).second.tickets_size());
    RouterHarness down;
    down.SetCoordinators({1});
    down.ObtainTickets(1, 1);
    down.router.OnLinkDown(down.EndpointOf(1), down.now);
    CPPUNIT_ASSERT_EQUAL(1L, down.outbox.Count(&wire::Envelope::has_ticket_request));
    down.Run(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(2L, down.outbox.Count(&wire::Envelope::has_ticket_request));
    down.IssueTickets();
    CPPUNIT_ASSERT_EQUAL(1, down.sink.tickets.at(0).second.tickets_size());
  }

  void ResendsToASilentCoordinatorThenFailsTheCall() {
    RouterHarness it;
    it.Submit(7, it.MakeTicket(1, 100));
    it.Run(milliseconds(999));
    CPPUNIT_ASSERT(it.outbox.resets.empty());
    it.Run(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.outbox.resets.size());
    CPPUNIT_ASSERT_EQUAL(2L, it.outbox.Count(&wire::Envelope::has_submit_job));
    it.Run(milliseconds(1999));
    CPPUNIT_ASSERT(it.sink.jobs.empty());
    it.Run(milliseconds(1));
    AssertFailed(it, api::MAY_HAVE_RUN, api::COORDINATOR_LOST);
    // The call fails sooner if the link is known to be closed.
    RouterHarness down;
    down.Submit(7, down.MakeTicket(1, 100));
    down.router.OnLinkDown(down.EndpointOf(1), down.now);
    CPPUNIT_ASSERT_EQUAL(2L, down.outbox.Count(&wire::Envelope::has_submit_job));
    down.Run(seconds(1));
    AssertFailed(down, api::MAY_HAVE_RUN, api::COORDINATOR_LOST);
  }

  void KeepsALongJobOfALiveCoordinator() {
    RouterHarness it;
    it.answer_liveness_requests = true;
    it.Submit(7, it.MakeTicket(1, 100));
    const std::uint64_t request = it.last().submit_job().request();
    it.Run(seconds(20));
    CPPUNIT_ASSERT(it.sink.jobs.empty());
    CPPUNIT_ASSERT(it.outbox.resets.empty());
    CPPUNIT_ASSERT_EQUAL(1L, it.outbox.Count(&wire::Envelope::has_submit_job));
    it.Reply(1, request, api::COMPLETE);
    CPPUNIT_ASSERT_EQUAL(api::COMPLETE, it.sink.jobs.at(0).second.answer().state());
  }

  void FollowsAMovedTicket() {
    RouterHarness it;
    it.Submit(7, it.MakeTicket(1, 100));
    const std::uint64_t first = it.last().submit_job().request();
    it.Move(1, first, it.MakeTicket(2, 200));
    const wire::SubmitJob moved = it.last().submit_job();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, moved.ticket().sequence());
    CPPUNIT_ASSERT_EQUAL(it.EndpointOf(2), it.outbox.sent.back().first);
    it.Reply(1, first, api::COMPLETE);
    CPPUNIT_ASSERT(it.sink.jobs.empty());
    it.Reply(2, moved.request(), api::COMPLETE);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100},
                         it.sink.jobs.at(0).second.answer().ticket().sequence());
    it.router.OnDelivered(7, it.now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, it.last().answer_ack().ticket().sequence());
    // A silent successor is detected like any other coordinator.
    RouterHarness silent;
    silent.Submit(7, silent.MakeTicket(1, 100));
    silent.Move(1, silent.last().submit_job().request(), silent.MakeTicket(2, 200));
    silent.Run(seconds(3));
    AssertFailed(silent, api::MAY_HAVE_RUN, api::COORDINATOR_LOST);
    // Coordinators that move a ticket in a circle must not keep a call for ever.
    RouterHarness circle;
    circle.Submit(7, circle.MakeTicket(1, 100));
    for (std::uint64_t n = 1; n <= 5; ++n) {
      circle.Move(n, circle.last().submit_job().request(), circle.MakeTicket(n + 1, 100));
    }
    AssertFailed(circle, api::MAY_HAVE_RUN, api::COORDINATOR_LEAVING);
  }

  // Guards against a NOT_RUN from a restarted process, which does not know whether
  // its predecessor ran the job.
  void FailsCallsOfAReplacedProcess() {
    RouterHarness it;
    it.Submit(7, it.MakeTicket(1, 100));
    wire::Envelope reply;
    reply.mutable_job_reply()->set_request(it.last().submit_job().request());
    reply.mutable_job_reply()->mutable_answer()->set_state(api::FAILED);
    reply.mutable_job_reply()->mutable_answer()->mutable_error()->set_verdict(api::NOT_RUN);
    reply.set_from(it.EndpointOf(1));
    reply.set_incarnation(99);
    it.router.OnMessage(reply, it.now);
    AssertFailed(it, api::MAY_HAVE_RUN, api::COORDINATOR_LOST);
  }

  void IgnoresRepliesToOtherCalls() {
    RouterHarness it;
    it.Submit(7, it.MakeTicket(1, 100));
    const std::uint64_t first = it.last().submit_job().request();
    it.router.Abandon(7);
    it.Submit(8, it.MakeTicket(1, 101));
    const std::uint64_t second = it.last().submit_job().request();
    it.Reply(1, first, api::COMPLETE);
    it.Reply(2, second, api::COMPLETE);
    wire::Envelope reply = it.MakeReply(second, api::COMPLETE);
    reply.mutable_job_reply()->mutable_answer()->mutable_ticket()->set_sequence(100);
    it.Deliver(1, reply);
    CPPUNIT_ASSERT(it.sink.jobs.empty());
    it.Reply(1, second, api::COMPLETE);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, it.sink.jobs.at(0).first);
  }

  void ReturnsRunningAfterTheWaitTime() {
    RouterHarness it;
    it.answer_liveness_requests = true;
    api::WaitRequest request;
    *request.mutable_ticket() = it.MakeTicket(1, 100);
    request.set_timeout_ms(5000);
    it.router.Wait(7, request, it.now);
    it.Run(milliseconds(4999));
    CPPUNIT_ASSERT(it.sink.jobs.empty());
    it.Run(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(api::RUNNING, it.sink.jobs.at(0).second.answer().state());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, it.sink.jobs[0].second.answer().ticket().sequence());
  }

  // Guards against a call that waits for a reply that was lost with a connection
  // while the coordinator is alive.
  void RepeatsAStatusWithoutAReply() {
    RouterHarness it;
    api::StatusRequest request;
    *request.mutable_ticket() = it.MakeTicket(1, 100);
    it.router.Status(7, request, it.now);
    it.RunAnsweringProbes(milliseconds(2900));
    CPPUNIT_ASSERT_EQUAL(3L, it.outbox.Count(&wire::Envelope::has_status_job));
    it.RunAnsweringProbes(milliseconds(100));
    AssertFailed(it, api::MAY_HAVE_RUN, api::COORDINATOR_LOST);
  }

  // Guards against a call that waits for an answer that a live coordinator has sent
  // and the connection has lost.
  void RequestsALostAnswerAgain() {
    RouterHarness it;
    it.Submit(7, it.MakeTicket(1, 100));
    const std::uint64_t request = it.last().submit_job().request();
    it.RunAnsweringProbes(seconds(1));
    const std::uint64_t poll =
        it.outbox.Last(&wire::Envelope::has_status_job).status_job().request();
    it.Reply(1, poll, api::COMPLETE);
    CPPUNIT_ASSERT(it.sink.jobs.empty());
    CPPUNIT_ASSERT_EQUAL(request, it.last().submit_job().request());
    it.Reply(1, request, api::COMPLETE);
    CPPUNIT_ASSERT_EQUAL(api::COMPLETE, it.sink.jobs.at(0).second.answer().state());
  }

  void ListsWhatArrivedInTime() {
    RouterHarness it;
    it.SetCoordinators({1, 2});
    it.router.ListJobs(7, api::ListJobsRequest(), it.now);
    wire::Envelope list;
    list.mutable_job_list()->set_request(it.last().list_jobs().request());
    list.mutable_job_list()->add_jobs()->set_team("coaches");
    it.Deliver(1, list);
    it.Deliver(1, list);
    it.Run(milliseconds(499));
    CPPUNIT_ASSERT(it.sink.lists.empty());
    it.Run(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(1, it.sink.lists.at(0).second.jobs_size());
  }

  static void AssertFailed(const RouterHarness& it, api::Verdict verdict, api::Reason reason) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.sink.jobs.size());
    const api::JobAnswer& answer = it.sink.jobs[0].second.answer();
    CPPUNIT_ASSERT_EQUAL(api::FAILED, answer.state());
    CPPUNIT_ASSERT_EQUAL(verdict, answer.error().verdict());
    CPPUNIT_ASSERT_EQUAL(reason, answer.error().reason());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.router.pending());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRouterTest);

}  // namespace
}  // namespace coltsfoottide::core
