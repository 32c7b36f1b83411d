#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "worker_harness.h"

namespace coltsfoottide::core {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kSlots = 3;

// Two coordinators that follow the protocol over connections that repeat and
// delay messages, and the expected state of their tasks.
class ProtocolModel {
 public:
  using Op = std::tuple<unsigned, unsigned, unsigned>;

  ProtocolModel() : it_(SmallWorkerOptions()) {
    for (const std::uint64_t coordinator : {1, 2}) {
      sessions_[coordinator] = it_.Hello(coordinator);
    }
  }

  void Step(const Op& op) {
    const auto [action, a, b] = op;
    const wire::TaskId id = it_.Task(1 + (a % 2), b % 10);
    const std::size_t runs = it_.backend.runs.size();
    permitted_ = it_.permission.Permits(it_.now);
    switch (action % 14) {
      case 0:
        it_.now += milliseconds(a * 40 % 4000);
        break;
      case 1:
        it_.Advance(milliseconds(a % 200));
        break;
      case 2:
        End(id, a / 2 % 4);
        break;
      case 3:
        Acknowledge(id);
        break;
      case 4:
        Resolve(id, next_link_sequence_ - 1 - (b % next_link_sequence_));
        break;
      case 5:
        it_.Reserve(id.coordinator(), sessions_[id.coordinator()], b, ClassOf(a));
        break;
      case 6:
        serving_ = a % 4 != 0;
        it_.worker.OnBackendHealth(serving_, kSlots, it_.now);
        break;
      case 7:
        sessions_[id.coordinator()] = it_.Hello(id.coordinator(), 1 + (b % 4));
        break;
      case 8:
      case 9:
        if (!sent_.empty()) {
          const wire::Envelope repeated = sent_[b % sent_.size()];
          it_.Receive(repeated.start().task().coordinator(), repeated);
        }
        break;
      default:
        SendStart(id, a);
    }
    CheckRuns(runs);
    ReadReplies();
  }

 private:
  enum class Standing { kRunning, kFinished, kAcknowledged };

  static WorkerOptions SmallWorkerOptions() {
    WorkerOptions options;
    options.slots = kSlots;
    options.max_result_bytes = 700;  // two results
    return options;
  }

  static api::JobClass ClassOf(unsigned n) { return n % 3 == 0 ? api::BULK : api::URGENT; }

  void SendStart(const wire::TaskId& id, unsigned a) {
    const TaskIdentity name{id.coordinator(), id.sequence()};
    if (tasks_.contains(name) && tasks_[name] == Standing::kAcknowledged) {
      return;
    }
    wire::Envelope envelope = it_.MakeStart(id.coordinator(), sessions_[id.coordinator()],
                                            next_link_sequence_++, ClassOf(a));
    *envelope.mutable_start()->mutable_task() = id;
    envelope.mutable_start()->set_offer(a % 5);
    sent_.push_back(envelope);
    if (a % 7 != 0) {  // otherwise it is delayed
      it_.Receive(id.coordinator(), envelope);
    }
  }

  void End(const wire::TaskId& id, unsigned outcome) {
    const TaskIdentity name{id.coordinator(), id.sequence()};
    const bool running = tasks_.contains(name) && tasks_[name] == Standing::kRunning;
    it_.Done(id.coordinator(), id.sequence(), static_cast<BackendOutcome>(outcome));
    if (running && static_cast<BackendOutcome>(outcome) == BackendOutcome::kNotRun) {
      tasks_.erase(name);
    } else if (running) {
      tasks_[name] = Standing::kFinished;
    }
  }

  void Acknowledge(const wire::TaskId& id) {
    const TaskIdentity name{id.coordinator(), id.sequence()};
    if (!tasks_.contains(name) || tasks_[name] == Standing::kRunning) {
      return;
    }
    wire::Envelope envelope;
    *envelope.mutable_result_ack()->add_tasks() = id;
    it_.Receive(id.coordinator(), envelope);
    tasks_[name] = Standing::kAcknowledged;
  }

  void Resolve(const wire::TaskId& id, std::uint64_t floor) {
    const TaskIdentity name{id.coordinator(), id.sequence()};
    if (tasks_.contains(name) && tasks_[name] == Standing::kAcknowledged) {
      return;
    }
    const std::uint64_t session = sessions_[id.coordinator()];
    it_.Resolve(id.coordinator(), session, floor, {id.sequence()});
    floors_[session] = std::max(floors_[session], floor);
    for (std::size_t n = read_messages_; n < it_.outbox.sent.size(); ++n) {
      const wire::Envelope& envelope = it_.outbox.sent[n].second;
      if (envelope.has_resolved()) {
        const auto expected = !tasks_.contains(name)               ? wire::NEVER_STARTED
                              : tasks_[name] == Standing::kRunning ? wire::RUNNING
                                                                   : wire::FINISHED;
        RC_ASSERT(envelope.resolved().items(0).standing() == expected);
      }
    }
  }

  void CheckRuns(std::size_t runs) {
    for (std::size_t n = runs; n < it_.backend.runs.size(); ++n) {
      const wire::Start& start = it_.backend.runs[n];
      RC_ASSERT(permitted_ && serving_);
      RC_ASSERT(!refused_.contains(start.link_sequence()));
      RC_ASSERT(start.link_sequence() > floors_[start.session()]);
      const TaskIdentity name{start.task().coordinator(), start.task().sequence()};
      RC_ASSERT(tasks_.emplace(name, Standing::kRunning).second);
      bulk_[name] = start.job_class() == api::BULK;
    }
    std::uint32_t running = 0;
    std::uint32_t running_bulk = 0;
    for (const auto& [name, standing] : tasks_) {
      running += standing == Standing::kRunning ? 1 : 0;
      running_bulk += standing == Standing::kRunning && bulk_[name] ? 1 : 0;
    }
    RC_ASSERT(running == it_.worker.running());
    RC_ASSERT(it_.worker.CurrentLoad(it_.now).busy() <= kSlots);
    RC_ASSERT(running_bulk < kSlots);
  }

  void ReadReplies() {
    for (; read_messages_ < it_.outbox.sent.size(); ++read_messages_) {
      const wire::Envelope& envelope = it_.outbox.sent[read_messages_].second;
      if (envelope.has_refused()) {
        refused_.insert(envelope.refused().link_sequence());
      }
    }
  }

  using TaskIdentity = std::pair<std::uint64_t, std::uint64_t>;

  WorkerHarness it_;
  bool permitted_ = true;
  bool serving_ = true;
  std::uint64_t next_link_sequence_ = 1;
  std::size_t read_messages_ = 0;
  std::vector<wire::Envelope> sent_;
  std::map<std::uint64_t, std::uint64_t> sessions_;
  std::map<std::uint64_t, std::uint64_t> floors_;
  std::map<TaskIdentity, Standing> tasks_;
  std::map<TaskIdentity, bool> bulk_;
  std::set<std::uint64_t> refused_;
};

class WorkerPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerPropertyTest);
  CPPUNIT_TEST(StartsEachTaskAtMostOnceAndReportsItsState);
  CPPUNIT_TEST_SUITE_END();

  void StartsEachTaskAtMostOnceAndReportsItsState() {
    const auto ops = rc::gen::resize(
        300,
        rc::gen::container<std::vector<ProtocolModel::Op>>(rc::gen::tuple(
            rc::gen::inRange(0U, 14U), rc::gen::inRange(0U, 1000U), rc::gen::inRange(0U, 1000U))));
    const bool passed = rc::check("worker", [&ops] {
      ProtocolModel model;
      for (const ProtocolModel::Op& op : *ops) {
        model.Step(op);
      }
    });
    CPPUNIT_ASSERT(passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerPropertyTest);

}  // namespace
}  // namespace coltsfoottide::core
