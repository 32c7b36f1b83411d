#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "collected_reports.h"
#include "coltsfoottide/direct/run_executor.h"
#include "direct_samples.h"
#include "fake_worker_port.h"

namespace coltsfoottide::direct {
namespace {

constexpr char kOwner[] = "entry-1";
constexpr std::uint32_t kRuns = 6;

// Which runs that stay behind their estimate an agent reports for a move.
class StragglerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StragglerTest);
  CPPUNIT_TEST(LongTaskStays);
  CPPUNIT_TEST(LongTaskDoesNotMakeItsServerSlow);
  CPPUNIT_TEST(RunsOfASlowServerAreReported);
  CPPUNIT_TEST(StalledRunIsReported);
  CPPUNIT_TEST(SlowProgressIsNoStall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    port_ = FakeWorkerPort();
    reports_ = CollectedReports();
    executor_ = std::make_unique<RunExecutor>(RunExecutor::Tuning{Ms(1000), Ms(700), Ms(1200)},
                                              port_, reports_);
    WorkerReport report = SampleReport(1);
    report.description = SampleWorker();
    executor_->OnWorkerReport(report, kStart);
    executor_->OnOwnerConfirmed(kOwner, kStart);
  }

 private:
  static RunId Id(std::uint32_t index) { return SampleOrder("j", index).id; }

  // Starts runs with this estimate and lets the backend server list them every 50 ms until
  // `until`, each with the percentage that `progress` returns for its index and the time since
  // the start.
  void Play(core::Duration estimate, core::Duration until,
            const std::function<int(std::uint32_t, core::Duration)>& progress) {
    for (std::uint32_t i = 0; i < kRuns; ++i) {
      RunOrder order = SampleOrder("j", i);
      order.estimate = estimate;
      executor_->OnOrder(kOwner, order, kStart);
      executor_->OnStartResult(order.id, StartResult::kStarted, kStart);
    }
    for (core::Duration at = Ms(50); at <= until; at += Ms(50)) {
      LeaseRenewal answer{1000, {}, {}};
      for (std::uint32_t i = 0; i < kRuns; ++i) {
        answer.running.push_back({Id(i), std::min(progress(i, at), 99)});
      }
      executor_->OnOwnerConfirmed(kOwner, kStart + at);
      executor_->OnLeaseRenewal(port_.renewals.back().renewal_number, answer,
                                CallFailure::kNoAnswer, kStart + at);
      executor_->Advance(kStart + at);
    }
  }
  // Whether the run was reported as one that stays behind.
  bool WasReported(std::uint32_t index) const {
    return std::any_of(reports_.reports.begin(), reports_.reports.end(), [index](const auto& it) {
      return it.second.id == Id(index) && it.second.remaining > core::Duration::zero();
    });
  }
  static int Percent(core::Duration at, core::Duration length) {
    return static_cast<int>(at * 100 / length);
  }

  // One task takes seven times its estimate, the others take 1.2 times. Guards against stopping
  // it and doing its work again elsewhere.
  void LongTaskStays() {
    Play(Ms(800), Ms(900), [](std::uint32_t i, core::Duration at) {
      return Percent(at, i == 0 ? Ms(5600) : Ms(960));
    });
    for (std::uint32_t i = 0; i < kRuns; ++i) CPPUNIT_ASSERT(!WasReported(i));
  }

  // The same. Guards against avoiding a backend server for the length of one task.
  void LongTaskDoesNotMakeItsServerSlow() {
    Play(Ms(800), Ms(900), [](std::uint32_t i, core::Duration at) {
      return Percent(at, i == 0 ? Ms(5600) : Ms(960));
    });
    CPPUNIT_ASSERT_EQUAL(1.0, executor_->State(kStart + Ms(900)).slowness);
  }

  // All runs take four times their estimate. Guards against leaving them to a backend server
  // with a fault.
  void RunsOfASlowServerAreReported() {
    Play(Ms(400), Ms(600),
         [](std::uint32_t /*i*/, core::Duration at) { return Percent(at, Ms(1600)); });
    for (std::uint32_t i = 0; i < kRuns; ++i) CPPUNIT_ASSERT(WasReported(i));
    CPPUNIT_ASSERT(executor_->State(kStart + Ms(600)).slowness > 1.2);
  }

  // The progress of one run stops at 40 percent. Guards against waiting for it because the other
  // runs go on.
  void StalledRunIsReported() {
    Play(Ms(800), Ms(950), [](std::uint32_t i, core::Duration at) {
      return i == 0 ? std::min(40, Percent(at, Ms(800))) : Percent(at, Ms(960));
    });
    CPPUNIT_ASSERT(WasReported(0));
    CPPUNIT_ASSERT(!WasReported(1));
  }

  // A task of seven times an estimate of 900 ms at 0.45 of the speed advances by one percent
  // every 140 ms, which is seen every 50 ms. Guards against taking it as stalled.
  void SlowProgressIsNoStall() {
    Play(Ms(900), Ms(1200), [](std::uint32_t i, core::Duration at) {
      return Percent(at, i == 0 ? Ms(14'000) : Ms(1260));
    });
    CPPUNIT_ASSERT(!WasReported(0));
  }

  FakeWorkerPort port_;
  CollectedReports reports_;
  std::unique_ptr<RunExecutor> executor_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StragglerTest);

}  // namespace
}  // namespace coltsfoottide::direct
