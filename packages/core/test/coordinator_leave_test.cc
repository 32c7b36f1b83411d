#include "coordinator_harness.h"

namespace coltsfoottide::core {
namespace {

using std::chrono::seconds;
using wire::Envelope;

class CoordinatorLeaveTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinatorLeaveTest);
  CPPUNIT_TEST(UnusedTicketIsMovedOnce);
  CPPUNIT_TEST(RunningJobIsFinished);
  CPPUNIT_TEST(TicketIsNotRunWithoutSuccessor);
  CPPUNIT_TEST_SUITE_END();

  static void AnswerAsSuccessor(CoordinatorHarness& h, int tickets) {
    const auto [successor, envelope] = h.TakeOne(Envelope::kTicketRequest);
    wire::Envelope reply;
    reply.mutable_ticket_reply()->set_request(envelope.ticket_request().request());
    for (int n = 1; n <= tickets; ++n) {
      api::Ticket* ticket = reply.mutable_ticket_reply()->add_tickets();
      ticket->set_endpoint(successor);
      ticket->set_sequence(static_cast<std::uint64_t>(n));
    }
    h.Deliver(successor, reply);
  }

  // Guards against two jobs from one ticket when its coordinator leaves: every
  // submission of it, also one before the successor's answer, and a later
  // cancellation are directed to the same successor ticket.
  void UnusedTicketIsMovedOnce() {
    CoordinatorHarness h;
    h.AddWorkers({"w1", "w2"});
    const api::Ticket ticket = h.ObtainTicket();
    h.coordinator.BeginLeave(h.now);
    h.SubmitWith(ticket, CoordinatorHarness::MakeJob(1));
    CPPUNIT_ASSERT(h.Take(Envelope::kJobReply).empty());
    AnswerAsSuccessor(h, 1);
    const auto moved = h.TakeOne(Envelope::kJobReply).second.job_reply().moved_to();
    CPPUNIT_ASSERT(moved.endpoint() == "w1" || moved.endpoint() == "w2");
    h.SubmitWith(ticket, CoordinatorHarness::MakeJob(1));
    h.Cancel(ticket);
    for (const auto& [to, envelope] : h.Take(Envelope::kJobReply)) {
      CPPUNIT_ASSERT_EQUAL(moved.sequence(), envelope.job_reply().moved_to().sequence());
    }
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
    CPPUNIT_ASSERT(h.coordinator.Idle());
  }

  void RunningJobIsFinished() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    h.Submit(CoordinatorHarness::MakeJob(2, true));
    h.coordinator.BeginLeave(h.now);
    wire::Envelope request;
    request.mutable_ticket_request()->set_count(1);
    h.Deliver("entry", request);
    const auto refusal = h.TakeOne(Envelope::kTicketReply).second.ticket_reply().error();
    CPPUNIT_ASSERT_EQUAL(api::COORDINATOR_LEAVING, refusal.reason());
    for (int n = 0; n < 2; ++n) {
      h.Finish("w1", h.TakeOne(Envelope::kStart).second.start().task());
    }
    CPPUNIT_ASSERT_EQUAL(api::COMPLETE, h.TakeAnswer().state());
    CPPUNIT_ASSERT(!h.coordinator.Idle());
    h.Advance(seconds(31));
    CPPUNIT_ASSERT(h.coordinator.Idle());
  }

  void TicketIsNotRunWithoutSuccessor() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    const api::Ticket ticket = h.ObtainTicket();
    h.coordinator.BeginLeave(h.now);
    h.SubmitWith(ticket, CoordinatorHarness::MakeJob(1));
    h.Advance(seconds(3));
    const api::Error error = h.TakeAnswer().error();
    CPPUNIT_ASSERT_EQUAL(api::COORDINATOR_LEAVING, error.reason());
    CPPUNIT_ASSERT_EQUAL(api::NOT_RUN, error.verdict());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, h.Take(Envelope::kTicketRequest).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorLeaveTest);

}  // namespace
}  // namespace coltsfoottide::core
