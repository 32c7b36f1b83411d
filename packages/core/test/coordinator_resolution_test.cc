#include "coordinator_harness.h"

namespace coltsfoottide::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::Envelope;

class CoordinatorResolutionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinatorResolutionTest);
  CPPUNIT_TEST(SilentLinkIsResolvedOverANewConnection);
  CPPUNIT_TEST(NeverStartedTaskIsPlacedAgain);
  CPPUNIT_TEST(LateAnswerToAnEarlierResolveIsIgnored);
  CPPUNIT_TEST(SilentWorkerIsLost);
  CPPUNIT_TEST(PausedCoordinatorSendsResolveBeforeFailingJobs);
  CPPUNIT_TEST(RestartedWorkerFailsItsJobs);
  CPPUNIT_TEST(UnknownSessionIsReplaced);
  CPPUNIT_TEST(LinkDownResolvesAtOnce);
  CPPUNIT_TEST(LostResultIsResolvedOnAResponsiveLink);
  CPPUNIT_TEST(RemovedCandidateIsResolved);
  CPPUNIT_TEST_SUITE_END();

  void SilentLinkIsResolvedOverANewConnection() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    h.Submit(CoordinatorHarness::MakeJob(1));
    const auto start = h.TakeOne(Envelope::kStart).second.start();
    h.Advance(milliseconds(999));
    CPPUNIT_ASSERT(h.outbox.resets.empty());
    h.Advance(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, h.outbox.resets.size());
    const auto resolve = h.TakeOne(Envelope::kResolve).second.resolve();
    CPPUNIT_ASSERT_EQUAL(start.session(), resolve.session());
    CPPUNIT_ASSERT_EQUAL(start.link_sequence(), resolve.floor());
    h.AnswerResolve("w1", resolve, wire::RUNNING);
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
    h.Finish("w1", start.task());
    CPPUNIT_ASSERT_EQUAL(api::COMPLETE, h.TakeAnswer().state());
  }

  void NeverStartedTaskIsPlacedAgain() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    h.Submit(CoordinatorHarness::MakeJob(1));
    const auto start = h.TakeOne(Envelope::kStart).second.start();
    h.Advance(seconds(1));
    h.AnswerResolve("w1", h.TakeOne(Envelope::kResolve).second.resolve(), wire::NEVER_STARTED);
    const auto again = h.TakeOne(Envelope::kStart).second.start();
    CPPUNIT_ASSERT(again.link_sequence() > start.link_sequence());
    // A refusal of the first Start, delayed on the old connection, does not apply
    // to the second.
    h.Refuse("w1", start, wire::BELOW_FLOOR, 0);
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
  }

  // Guards against a second start of a task: a delayed NEVER_STARTED refers to an
  // earlier Start, and a newer one may have started the task since.
  void LateAnswerToAnEarlierResolveIsIgnored() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    h.Submit(CoordinatorHarness::MakeJob(1));
    h.Advance(seconds(1));
    const auto first = h.TakeOne(Envelope::kResolve).second.resolve();
    h.Advance(seconds(1));
    const auto second = h.TakeOne(Envelope::kResolve).second.resolve();
    h.Take(Envelope::kStart);
    h.AnswerResolve("w1", second, wire::NEVER_STARTED);
    h.TakeOne(Envelope::kStart);
    h.AnswerResolve("w1", first, wire::NEVER_STARTED);
    h.AnswerResolve("w1", second, wire::NEVER_STARTED);
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
  }

  void SilentWorkerIsLost() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    h.Submit(CoordinatorHarness::MakeJob(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, h.Take(Envelope::kStart).size());
    h.Advance(milliseconds(4999));
    CPPUNIT_ASSERT(h.Take(Envelope::kJobReply).empty());
    h.Advance(milliseconds(1));
    const api::Error error = h.TakeAnswer().error();
    CPPUNIT_ASSERT_EQUAL(api::WORKER_LOST, error.reason());
    CPPUNIT_ASSERT_EQUAL(api::MAY_HAVE_RUN, error.verdict());
    // The worker gets a new Hello and is used again once it answers.
    h.Take(Envelope::kHello);
    h.Advance(seconds(2));
    h.AnswerHellos();
    h.Submit(CoordinatorHarness::MakeJob(1));
    h.TakeOne(Envelope::kStart);
  }

  // Guards against failing jobs after a pause of the coordinator: the messages of
  // the workers are still waiting to be read.
  void PausedCoordinatorSendsResolveBeforeFailingJobs() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    h.Submit(CoordinatorHarness::MakeJob(1));
    const auto start = h.TakeOne(Envelope::kStart).second.start();
    h.now += milliseconds(7500);
    h.coordinator.Tick(h.now);
    CPPUNIT_ASSERT(h.Take(Envelope::kJobReply).empty());
    h.TakeOne(Envelope::kResolve);
    h.Finish("w1", start.task());
    CPPUNIT_ASSERT_EQUAL(api::COMPLETE, h.TakeAnswer().state());
  }

  void RestartedWorkerFailsItsJobs() {
    for (const bool by_resolve : {true, false}) {
      CoordinatorHarness h;
      h.AddWorkers({"w1"});
      h.Submit(CoordinatorHarness::MakeJob(1));
      if (by_resolve) {
        h.Advance(seconds(1));
        h.AnswerResolve("w1", h.TakeOne(Envelope::kResolve).second.resolve(), wire::NEVER_STARTED,
                        false, 2);
      } else {
        h.coordinator.SetCandidates({CoordinatorHarness::Info("w1", 2)}, h.now);
        h.AnswerHellos(8, 2);
      }
      CPPUNIT_ASSERT_EQUAL(api::WORKER_LOST, h.TakeAnswer().error().reason());
    }
  }

  void UnknownSessionIsReplaced() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    h.Submit(CoordinatorHarness::MakeJob(2));
    for (const auto& [worker, envelope] : h.Take(Envelope::kStart)) {
      h.Refuse(worker, envelope.start(), wire::UNKNOWN_SESSION, 0);
    }
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
    h.AnswerHellos();
    const auto starts = h.Take(Envelope::kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
    CPPUNIT_ASSERT_EQUAL(h.sessions, starts[0].second.start().session());
  }

  void LinkDownResolvesAtOnce() {
    CoordinatorHarness h;
    h.AddWorkers({"w1", "w2"});
    h.Submit(CoordinatorHarness::MakeJob(1));
    const auto worker = h.TakeOne(Envelope::kStart).first;
    h.coordinator.OnLinkDown(worker, h.now);
    h.AnswerResolve(worker, h.TakeOne(Envelope::kResolve).second.resolve(), wire::NEVER_STARTED);
    h.TakeOne(Envelope::kStart);
  }

  // Guards against a task that never ends because its Result was lost while
  // other messages of the worker arrive.
  void LostResultIsResolvedOnAResponsiveLink() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    h.Submit(CoordinatorHarness::MakeJob(1));
    for (int n = 0; n < 40; ++n) {
      h.Advance(milliseconds(100));
      wire::Envelope update;
      *update.mutable_load_update()->mutable_load() = h.MakeLoad(8, 0);
      h.Deliver("w1", update);
    }
    h.TakeOne(Envelope::kResolve);
    CPPUNIT_ASSERT(h.outbox.resets.empty());
  }

  void RemovedCandidateIsResolved() {
    CoordinatorHarness h;
    h.AddWorkers({"w1"});
    h.Submit(CoordinatorHarness::MakeJob(1));
    const auto start = h.TakeOne(Envelope::kStart).second.start();
    h.coordinator.SetCandidates({CoordinatorHarness::Info("w2")}, h.now);
    h.AnswerHellos();
    const auto [to, resolve] = h.TakeOne(Envelope::kResolve);
    CPPUNIT_ASSERT_EQUAL(std::string("w1"), to);
    h.AnswerResolve("w1", resolve.resolve(), wire::RUNNING);
    CPPUNIT_ASSERT(h.Take(Envelope::kStart).empty());
    h.Finish("w1", start.task());
    CPPUNIT_ASSERT_EQUAL(api::COMPLETE, h.TakeAnswer().state());
    h.Advance(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::string("w1"), h.TakeOne(Envelope::kResultAck).first);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorResolutionTest);

}  // namespace
}  // namespace coltsfoottide::core
