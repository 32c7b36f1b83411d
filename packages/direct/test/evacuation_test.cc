#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "collected_reports.h"
#include "coltsfoottide/direct/run_executor.h"
#include "direct_samples.h"
#include "fake_worker_port.h"

namespace coltsfoottide::direct {
namespace {

constexpr char kOwner[] = "entry-1";
constexpr char kOtherOwner[] = "entry-2";
constexpr std::uint64_t kPosition = 10;

// An agent in a data centre that the operator evacuates.
class EvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(QueuedRunsAreHandedBack);
  CPPUNIT_TEST(OrdersOfAnEntryThatDoesNotKnowAreHandedBack);
  CPPUNIT_TEST(RefusedStartDoesNotReturnToTheQueue);
  CPPUNIT_TEST(DeferredOrderIsHandedBack);
  CPPUNIT_TEST(OlderViewChangesNothing);
  CPPUNIT_TEST(WorkIsTakenAgainAfterwards);
  CPPUNIT_TEST(OtherDataCentresGoOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    port_ = FakeWorkerPort();
    reports_ = CollectedReports();
    executor_ = std::make_unique<RunExecutor>(RunExecutor::Tuning{Ms(1000), Ms(700), Ms(1200)},
                                              port_, reports_);
    // Room for two runs, in data centre "a".
    executor_->OnWorkerReport(SampleReport(1), kStart);
    executor_->OnOwnerConfirmed(kOwner, kStart);
    executor_->OnOwnerConfirmed(kOtherOwner, kStart);
  }

 private:
  RunId Order(std::uint32_t index, core::TimePoint now, const char* owner = kOwner) {
    const RunOrder order = SampleOrder("j", index);
    executor_->OnOrder(owner, order, now);
    return order.id;
  }
  RunId StartRun(std::uint32_t index) {
    RunId id = Order(index, kStart);
    executor_->OnStartResult(id, StartResult::kStarted, kStart + Ms(1));
    return id;
  }
  void EndRun(std::uint64_t number, const RunId& id, core::TimePoint now) {
    executor_->OnLeaseRenewal(port_.renewals.back().renewal_number,
                              LeaseRenewal{1000, {}, {{number, id, EndedRun::Outcome::kDone}}},
                              CallFailure::kNoAnswer, now);
  }

  // Guards against starts seconds after the evacuation was acknowledged, of runs that waited
  // for room (review/3).
  void QueuedRunsAreHandedBack() {
    const RunId first = StartRun(0);
    const RunId second = StartRun(1);
    Order(2, kStart);
    Order(3, kStart, kOtherOwner);
    executor_->OnEvacuation({"a"}, kPosition, kStart + Ms(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reports_.Count(RunReport::Kind::kNotRun));
    EndRun(1, first, kStart + Ms(60));
    EndRun(2, second, kStart + Ms(61));
    executor_->Advance(kStart + Ms(80));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, port_.starts.size());
    CPPUNIT_ASSERT(port_.stops.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reports_.Count(RunReport::Kind::kDone));
  }

  // Guards against starts for an entry that is cut off from the store.
  void OrdersOfAnEntryThatDoesNotKnowAreHandedBack() {
    executor_->OnEvacuation({"a"}, kPosition, kStart);
    Order(0, kStart + Ms(1), kOtherOwner);
    CPPUNIT_ASSERT(port_.starts.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kNotRun));
    CPPUNIT_ASSERT(executor_->State(kStart + Ms(1)).draining);
  }

  // Guards against a run that waits here until its job is late: its start was on its way when
  // the evacuation began, and was refused for lack of resources.
  void RefusedStartDoesNotReturnToTheQueue() {
    const RunId id = Order(0, kStart);
    executor_->OnEvacuation({"a"}, kPosition, kStart + Ms(1));
    executor_->OnStartResult(id, StartResult::kNoResources, kStart + Ms(2));
    executor_->Advance(kStart + Ms(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kNotRun));
    CPPUNIT_ASSERT(executor_->idle());
  }

  // The same for an order that waits for the stop of the task's earlier run, and against handing
  // it back before that run has ended, which starts the task elsewhere beside it.
  void DeferredOrderIsHandedBack() {
    const RunId first = StartRun(0);
    RunOrder again = SampleOrder("j", 0);
    again.id.number = 2;
    executor_->OnOrder(kOtherOwner, again, kStart + Ms(2));
    executor_->OnEvacuation({"a"}, kPosition, kStart + Ms(3));
    executor_->Advance(kStart + Ms(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reports_.Count(RunReport::Kind::kNotRun));
    EndRun(1, first, kStart + Ms(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports_.Count(RunReport::Kind::kNotRun));
    CPPUNIT_ASSERT(reports_.reports.back().second.id == again.id);
    CPPUNIT_ASSERT(executor_->idle());
  }

  // Guards against an entry with an older view that takes the evacuation back.
  void OlderViewChangesNothing() {
    executor_->OnEvacuation({"a"}, kPosition, kStart);
    executor_->OnEvacuation({}, kPosition - 1, kStart + Ms(1));
    Order(0, kStart + Ms(2));
    CPPUNIT_ASSERT(port_.starts.empty());
  }

  // Guards against a data centre that stays empty.
  void WorkIsTakenAgainAfterwards() {
    executor_->OnEvacuation({"a"}, kPosition, kStart);
    executor_->OnEvacuation({}, kPosition + 1, kStart + Ms(1));
    CPPUNIT_ASSERT(!executor_->State(kStart + Ms(1)).draining);
    Order(0, kStart + Ms(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.starts.size());
  }

  void OtherDataCentresGoOn() {
    executor_->OnEvacuation({"b"}, kPosition, kStart);
    Order(0, kStart + Ms(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, port_.starts.size());
  }

  FakeWorkerPort port_;
  CollectedReports reports_;
  std::unique_ptr<RunExecutor> executor_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

}  // namespace
}  // namespace coltsfoottide::direct
