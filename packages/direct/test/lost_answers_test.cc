#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "coltsfoottide/direct/report_sink.h"
#include "coltsfoottide/direct/run_executor.h"
#include "coltsfoottide/direct/worker_port.h"
#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

constexpr char kOwner[] = "entry-1";
constexpr int kRunMs = 60;
constexpr int kSlots = 10;
constexpr int kSimulatedMs = 8000;

// A backend server of ten slots. Lost calls have no effect and get no answer.
class LossyWorker : public WorkerPort, public ReportSink {
 public:
  // The executor waits at least `min_timeout` for the answer to a start. `loss` is
  // the share of lost calls.
  explicit LossyWorker(core::Duration min_timeout, double loss = 0.3)
      : min_timeout_(min_timeout), loss_(loss) {
    executor_ = std::make_unique<RunExecutor>(RunExecutor::Tuning{Ms(1000), Ms(700), Ms(1200)},
                                              *this, *this);
  }

  // Returns the share of the runs that end within 150 ms of their order.
  double Simulate() {
    WorkerReport report = SampleReport(1);
    report.description.total = {6000 * kSlots, 65536, 0};
    executor_->OnWorkerReport(report, now_);
    double due = 0;
    std::uint32_t ordered = 0;
    for (int ms = 0; ms < kSimulatedMs; ++ms) {
      now_ = kStart + Ms(ms);
      executor_->OnOwnerConfirmed(kOwner, now_);
      due += load_ * kSlots / run_ms_;
      for (; due >= 1; due -= 1) Order(ordered++);
      while (!events_.empty() && events_.begin()->first <= now_) {
        const std::function<void()> event = events_.begin()->second;
        events_.erase(events_.begin());
        event();
      }
      AnswerRenewals();
      if (ms % 20 == 0) executor_->Advance(now_);
    }
    return static_cast<double>(in_time_) / ordered;
  }

  // One run at a time, of 400 ms, in place of five of 60 ms.
  void RunLongTasks() {
    load_ = 1.0 / kSlots;
    run_ms_ = 400;
  }
  // The answer to a renewal whose wait has ended takes this much longer.
  void set_lateness(core::Duration lateness) { lateness_ = lateness; }
  int renewal_calls() const { return renewal_calls_; }

  void UseIncarnation(const WorkerReport& /*report*/) override {}
  void StartRun(const RunOrder& order, core::TimePoint /*lease_end*/,
                core::Duration timeout) override {
    const RunId id = order.id;
    if (Lost()) {
      After(std::max(timeout, min_timeout_),
            [this, id] { executor_->OnStartResult(id, StartResult::kUnknown, now_); });
      return;
    }
    After(Ms(1), [this, id] {
      if (started_.insert(id).second) After(Ms(run_ms_), [this, id] { End(id); });
      executor_->OnStartResult(id, StartResult::kStarted, now_);
    });
  }
  void StopRun(const RunId& /*id*/) override {}
  void RenewLease(std::uint64_t renewal_number, std::uint64_t ended_cursor,
                  std::optional<core::TimePoint> /*lease_end*/, core::Duration wait) override {
    ++renewal_calls_;
    if (!Lost()) {
      renewals_.push_back({renewal_number, ended_cursor, now_ + wait + lateness_});
      return;
    }
    After(wait + Ms(400), [this, renewal_number] {
      executor_->OnLeaseRenewal(renewal_number, std::nullopt, CallFailure::kNoAnswer, now_);
    });
  }
  void Report(const std::string& /*owner*/, const RunReport& report) override {
    if (report.kind != RunReport::Kind::kDone) return;
    if (now_ - ordered_at_.at(report.id) <= Ms(150)) ++in_time_;
  }
  void ReportCrash(const WorkerCrash& /*crash*/) override {}
  void OnReportRefuted(const WorkerReport& /*report*/) override {}

 private:
  struct RenewalCall {
    std::uint64_t renewal_number = 0;
    std::uint64_t ended_cursor = 0;
    core::TimePoint until;
  };

  bool Lost() { return std::uniform_real_distribution<double>(0, 1)(random_) < loss_; }
  void After(core::Duration delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }
  void Order(std::uint32_t index) {
    RunOrder order = SampleOrder("j", index);
    order.objective = now_ + Ms(150);
    order.useful_until = now_ + Ms(450);
    ordered_at_[order.id] = now_;
    executor_->OnOrder(kOwner, order, now_);
  }
  void End(const RunId& id) {
    started_.erase(id);
    ended_.push_back({++last_end_, id, EndedRun::Outcome::kDone});
  }
  void AnswerRenewals() {
    const std::vector<RenewalCall> waiting = std::exchange(renewals_, {});
    for (const RenewalCall& it : waiting) {
      LeaseRenewal result{1000, {}, {}};
      std::copy_if(ended_.begin(), ended_.end(), std::back_inserter(result.ended),
                   [&it](const EndedRun& end) { return end.number > it.ended_cursor; });
      if (result.ended.empty() && now_ < it.until) {
        renewals_.push_back(it);
        continue;
      }
      for (const RunId& id : started_) result.running.push_back({id, 50});
      executor_->OnLeaseRenewal(it.renewal_number, result, CallFailure::kNoAnswer, now_);
    }
  }

  const core::Duration min_timeout_;
  const double loss_;
  double load_ = 0.5;
  int run_ms_ = kRunMs;
  core::Duration lateness_{};
  int renewal_calls_ = 0;
  std::unique_ptr<RunExecutor> executor_;
  core::TimePoint now_ = kStart;
  std::mt19937 random_{5};  // NOLINT(cert-msc51-cpp)
  std::multimap<core::TimePoint, std::function<void()>> events_;
  std::vector<RenewalCall> renewals_;
  std::set<RunId> started_;
  std::vector<EndedRun> ended_;
  std::uint64_t last_end_ = 0;
  std::map<RunId, core::TimePoint> ordered_at_;
  int in_time_ = 0;
};

class LostAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LostAnswersTest);
  CPPUNIT_TEST(MostRunsEndInTimeWhileCallsAreLost);
  CPPUNIT_TEST(LateAnswersDoNotMultiplyTheCalls);
  CPPUNIT_TEST_SUITE_END();

  // Three of ten calls to a backend server are lost. Guards against unanswered
  // starts that occupy so many slots that too few remain. Baseline: a timeout
  // of 50 ms for a start.
  void MostRunsEndInTimeWhileCallsAreLost() {
    const double baseline = LossyWorker(Ms(50)).Simulate();
    const double in_time = LossyWorker(Ms(0)).Simulate();
    // Lost calls occupy up to a fifth of the slots; the rest is enough for
    // nearly all runs.
    CPPUNIT_ASSERT(in_time >= 0.9);
    CPPUNIT_ASSERT(in_time > baseline);
  }

  // Answers that come 25 ms late, as from a busy machine, and none that is lost.
  // Guards against a fleet that calls its backend servers several times as often
  // because late answers count as lost. One late answer may cost two further calls.
  void LateAnswersDoNotMultiplyTheCalls() {
    LossyWorker prompt(Ms(0), 0.0);
    prompt.RunLongTasks();
    prompt.Simulate();
    LossyWorker late(Ms(0), 0.0);
    late.RunLongTasks();
    late.set_lateness(Ms(25));
    late.Simulate();
    CPPUNIT_ASSERT(late.renewal_calls() <= prompt.renewal_calls() * 3);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostAnswersTest);

}  // namespace
}  // namespace coltsfoottide::direct
