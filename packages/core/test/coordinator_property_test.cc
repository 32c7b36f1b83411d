#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "simulation.h"

namespace coltsfoottide::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kWorkers = 4;
constexpr std::uint64_t kIncarnation = 1000;

// One coordinator, four workers that refuse starts, hang, crash and restart, and
// an entry that submits jobs once or twice and cancels some.
class FaultyCluster {
 public:
  explicit FaultyCluster(std::uint64_t seed)
      : simulation_(seed),
        outbox_(simulation_, "c", kIncarnation),
        coordinator_(Options(), MakeHybridPlacement(seed), outbox_, seed) {
    simulation_.coordinators.push_back(&coordinator_);
    simulation_.Listen("c", [this](const wire::Envelope& envelope) {
      coordinator_.OnMessage(envelope, simulation_.now);
    });
    simulation_.Listen("e", [this](const wire::Envelope& envelope) { OnEntryMessage(envelope); });
    for (int n = 0; n < kWorkers; ++n) {
      RestartWorker(n);
    }
    UpdateCandidates();
  }

  void Run(int jobs) {
    for (int n = 0; n < jobs; ++n) {
      wire::Envelope request;
      request.mutable_ticket_request()->set_count(1);
      Send(request);
      simulation_.RunUntil(simulation_.now + milliseconds(Draw(800)));
      InjectFault();
    }
    // Beyond all deadlines and timeouts.
    simulation_.RunUntil(simulation_.now + seconds(90));
  }

  void Check() const {
    for (const auto& [task, runs] : simulation_.runs) {
      RC_ASSERT(runs == 1);
    }
    for (const auto& [sequence, job] : jobs_) {
      // Each call is answered once, by the deadline.
      RC_ASSERT(job.answers.size() == job.calls);
      for (const auto& answer : job.answers) {
        CheckAnswer(sequence, job, answer);
      }
    }
    RC_ASSERT(coordinator_.Idle());
  }
  std::size_t completed() const { return completed_; }

 private:
  struct SubmittedJob {
    api::JobSpec spec;
    std::size_t calls = 0;
    std::vector<api::JobAnswer> answers;
  };

  static CoordinatorOptions Options() {
    CoordinatorOptions options;
    options.endpoint = "c";
    options.incarnation = kIncarnation;
    return options;
  }
  std::uint64_t Draw(std::uint64_t n) { return simulation_.random() % n; }

  void CheckAnswer(std::uint64_t sequence, const SubmittedJob& job,
                   const api::JobAnswer& answer) const {
    int started = 0;
    for (int index = 0; index < job.spec.tasks_size(); ++index) {
      started +=
          simulation_.runs.contains({kIncarnation, sequence, static_cast<std::uint32_t>(index)})
              ? 1
              : 0;
    }
    RC_ASSERT(answer.ticket().sequence() == sequence);
    RC_ASSERT(answer.elapsed_us() <= job.spec.deadline_ms() * 1000ULL);
    if (answer.state() == api::COMPLETE) {
      RC_ASSERT(answer.results_size() == job.spec.tasks_size());
      RC_ASSERT(started == job.spec.tasks_size());
      return;
    }
    RC_ASSERT(answer.state() == api::FAILED);
    RC_ASSERT(answer.results_size() == 0);
    RC_ASSERT(answer.error().verdict() != api::NOT_RUN || started == 0);
    RC_ASSERT(answer.error().verdict() != api::RAN || started > 0);
  }

  void Send(wire::Envelope envelope) {
    envelope.set_from("e");
    coordinator_.OnMessage(envelope, simulation_.now);
  }

  void OnEntryMessage(const wire::Envelope& envelope) {
    if (envelope.body_case() == wire::Envelope::kTicketReply) {
      return Submit(envelope.ticket_reply().tickets(0));
    }
    const api::JobAnswer& answer = envelope.job_reply().answer();
    jobs_[answer.ticket().sequence()].answers.push_back(answer);
    completed_ += answer.state() == api::COMPLETE ? 1 : 0;
  }

  void Submit(const api::Ticket& ticket) {
    SubmittedJob& job = jobs_[ticket.sequence()];
    job.spec.set_team("coaches");
    job.spec.set_service("match-review");
    job.spec.set_job_class(Draw(2) == 0 ? api::URGENT : api::BULK);
    job.spec.set_deadline_ms(static_cast<std::uint32_t>(200 + Draw(8000)));
    const std::uint64_t tasks = 1 + Draw(6);
    for (std::uint64_t index = 0; index < tasks; ++index) {
      api::TaskSpec* task = job.spec.add_tasks();
      task->set_kind("k");
      task->set_payload(std::to_string(1000 * (50 + Draw(Draw(10) == 0 ? 4000 : 500))));
      if (index > 0 && Draw(2) == 0) {
        task->add_depends_on(static_cast<std::uint32_t>(Draw(index)));
      }
    }
    wire::Envelope envelope;
    wire::SubmitJob* submit = envelope.mutable_submit_job();
    *submit->mutable_ticket() = ticket;
    *submit->mutable_job() = job.spec;
    submit->set_wait(true);
    const std::uint64_t calls = 1 + Draw(2);
    for (std::uint64_t call = 0; call < calls; ++call) {
      submit->set_request(call);
      ++job.calls;
      SendLater(Draw(400), envelope);
    }
    if (Draw(5) == 0) {
      wire::Envelope cancel;
      cancel.mutable_cancel_job()->set_request(calls);
      *cancel.mutable_cancel_job()->mutable_ticket() = ticket;
      ++job.calls;
      SendLater(Draw(600), cancel);
    }
  }
  void SendLater(std::uint64_t ms, const wire::Envelope& envelope) {
    simulation_.At(simulation_.now + milliseconds(ms), [this, envelope] { Send(envelope); });
  }

  void InjectFault() {
    const int n = static_cast<int>(Draw(kWorkers));
    const std::string endpoint = "w" + std::to_string(n);
    switch (Draw(12)) {
      case 0:
        return simulation_.Hang("c", endpoint);
      case 1:
        // The worker resets the connection after a while; until then its
        // messages are lost or delayed.
        simulation_.Hang(endpoint, "c");
        return simulation_.At(simulation_.now + milliseconds(Draw(6000)),
                              [this, endpoint] { simulation_.Reset(endpoint, "c"); });
      case 2:
        return RestartWorker(n);
      case 3:
        workers_[n]->Crash();
        simulation_.At(simulation_.now + milliseconds(Draw(8000)), [this, n] { RestartWorker(n); });
        return coordinator_.OnLinkDown(endpoint, simulation_.now);
      case 4:
        return coordinator_.OnLinkDown(endpoint, simulation_.now);
      case 5:
        listed_[n] = !listed_[n];
        return UpdateCandidates();
      default:
        return;
    }
  }

  void RestartWorker(int n) {
    if (workers_[n] != nullptr) {
      workers_[n]->Crash();
      crashed_.push_back(std::move(workers_[n]));
    }
    ++incarnations_[n];
    workers_[n] = std::make_unique<FakeWorker>(simulation_, "w" + std::to_string(n),
                                               incarnations_[n], 2 + Draw(4));
    workers_[n]->refusal_rate = Draw(3) == 0 ? 0.3 : 0;
  }

  void UpdateCandidates() {
    std::vector<api::WorkerInfo> infos;
    for (int n = 0; n < kWorkers; ++n) {
      // The first worker is always listed: without any, jobs would be refused
      // with UNKNOWN_SERVICE.
      if (n == 0 || listed_[n]) {
        api::WorkerInfo& info = infos.emplace_back();
        info.set_endpoint("w" + std::to_string(n));
        info.set_incarnation(incarnations_[n]);
        info.set_service("match-review");
        info.set_state(api::SERVING);
      }
    }
    coordinator_.SetCandidates(infos, simulation_.now);
  }

  Simulation simulation_;
  SimulatedOutbox outbox_;
  Coordinator coordinator_;
  std::unique_ptr<FakeWorker> workers_[kWorkers];
  std::uint64_t incarnations_[kWorkers] = {};
  bool listed_[kWorkers] = {true, true, true, true};
  std::vector<std::unique_ptr<FakeWorker>> crashed_;
  std::map<std::uint64_t, SubmittedJob> jobs_;
  std::size_t completed_ = 0;
};

class CoordinatorPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinatorPropertyTest);
  CPPUNIT_TEST(StartsOnceAndAnswersCorrectlyUnderFaults);
  CPPUNIT_TEST_SUITE_END();

  // Guards against second starts of a task, partial or missing answers, and wrong
  // verdicts when workers and connections fail.
  void StartsOnceAndAnswersCorrectlyUnderFaults() {
    std::size_t completed = 0;
    CPPUNIT_ASSERT(rc::check("one start a task, one true answer a call", [&completed] {
      FaultyCluster cluster(*rc::gen::resize(
          rc::kNominalSize, rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>())));
      cluster.Run(60);
      cluster.Check();
      completed += cluster.completed();
    }));
    // Most jobs must complete despite the faults.
    CPPUNIT_ASSERT(completed > 2000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorPropertyTest);

}  // namespace
}  // namespace coltsfoottide::core
