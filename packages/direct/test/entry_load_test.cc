#include "coltsfoottide/direct/entry_load.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <optional>
#include <utility>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

constexpr core::Duration kTick = std::chrono::milliseconds(20);

// An entry with a limited processor share. Its event loop reads all that has arrived when an
// iteration begins, and then serves the timer if it is due.
class SimulatedEntry {
 public:
  // Processor time of a request that is refused and of one that becomes a job, which takes the
  // latter again for its reports and its answer after the run time of its tasks.
  static constexpr core::Duration kRefusal = std::chrono::microseconds(200);
  static constexpr core::Duration kHalfJob = std::chrono::microseconds(350);

  SimulatedEntry(double share, bool refuses) : share_(share), refuses_(refuses) {}

  // Serves this number of requests a second.
  void Run(double rate, core::Duration duration) {
    const core::TimePoint end = now_ + duration;
    const auto interval =
        std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(1.0 / rate));
    next_request_ = std::max(next_request_, now_ + interval);
    while (now_ < end) {
      const core::TimePoint begin = now_;
      // Reports first, as they finish work in progress.
      while (!reports_.empty() && reports_.front().first <= begin) {
        Use(kHalfJob);
        const core::TimePoint arrived = reports_.front().second;
        reports_.pop_front();
        ++answered;
        if (now_ - arrived > Ms(450)) ++useless;
      }
      for (; next_request_ <= begin; next_request_ += interval) Read(next_request_);
      if (now_ >= tick_due_) {
        load.OnTick(used_, now_);
        while (tick_due_ <= now_) tick_due_ += kTick;
      }
      if (now_ == begin) {
        now_ = std::min({tick_due_, next_request_,
                         reports_.empty() ? tick_due_ : std::max(begin, reports_.front().first)});
      }
    }
  }

  void Pause(core::Duration duration) { now_ += duration; }

  EntryLoad load{kTick, 0.12};
  int answered = 0;
  int useless = 0;
  int refused = 0;
  core::Duration longest_retry{};

 private:
  void Use(core::Duration processor_time) {
    used_ += processor_time;
    now_ += std::chrono::duration_cast<core::Duration>(processor_time / share_);
  }

  void Read(core::TimePoint arrived) {
    load.OnRequest();
    // One task of 60 ms, of no value 450 ms after the request is read.
    JobRequest request = SampleJob("j", 1);
    request.useful_until = now_ + Ms(450);
    const auto retry = refuses_ ? load.Refuse(request, now_) : std::nullopt;
    if (retry) {
      ++refused;
      longest_retry = std::max(longest_retry, *retry);
      return Use(kRefusal);
    }
    Use(kHalfJob);
    reports_.emplace_back(now_ + Ms(60), arrived);
  }

  double share_;
  bool refuses_;
  core::TimePoint now_ = kStart;
  core::TimePoint tick_due_ = kStart;
  core::TimePoint next_request_ = kStart;
  core::Duration used_{};
  // Time of the report, and of the request.
  std::deque<std::pair<core::TimePoint, core::TimePoint>> reports_;
};

class EntryLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryLoadTest);
  CPPUNIT_TEST(RefusesNothingWithoutSamples);
  CPPUNIT_TEST(RefusesNothingInNormalOperation);
  CPPUNIT_TEST(AcceptedJobsAreAnsweredInTimeAboveTheCapacity);
  CPPUNIT_TEST(APauseIsForgottenAfterAFewTicks);
  CPPUNIT_TEST(ABurstIsOverSoonAfterItsEnd);
  CPPUNIT_TEST(JobsWithTimeAreAcceptedWhileUrgentOnesAreNot);
  CPPUNIT_TEST(RetriesOfRefusedCallersAreSpread);
  CPPUNIT_TEST(ProcessorUseIsThatOfTheLimit);
  CPPUNIT_TEST_SUITE_END();

  // A new process, and a job that has no time left at all. Guards against refusals by an entry
  // that knows nothing about its load.
  void RefusesNothingWithoutSamples() {
    EntryLoad load(kTick, 0.12);
    JobRequest request = SampleJob("j", 1);
    request.useful_until = kStart;
    CPPUNIT_ASSERT(!load.Refuse(request, kStart + Ms(500)));
    CPPUNIT_ASSERT(load.Delay(kStart + Ms(500)) == core::Duration::zero());
  }

  // 100 requests a second at 0.12 cores, 58% of what it can serve, and a process that is
  // throttled for 88 ms of every 100. Guards against refusals by the delays of normal operation.
  void RefusesNothingInNormalOperation() {
    SimulatedEntry entry(0.12, true);
    entry.Run(100, std::chrono::seconds(20));
    CPPUNIT_ASSERT_EQUAL(0, entry.refused);
    CPPUNIT_ASSERT_EQUAL(0, entry.useless);
    EntryLoad load(kTick, 0.12);
    core::TimePoint now = kStart;
    JobRequest request = SampleJob("j", 1);
    for (int i = 0; i < 200; ++i) {
      now += Ms(i % 2 == 0 ? 12 : 88);
      load.OnTick(Ms(i * 6), now);
      request.useful_until = now + Ms(450);
      CPPUNIT_ASSERT(!load.Refuse(request, now));
      CPPUNIT_ASSERT(!load.Refuse(request, now + Ms(88)));
    }
  }

  // 257 requests a second at 0.12 cores, 1.5 times what it can serve, for 20 s. Guards against
  // an entry that accepts jobs which it answers when nobody waits for them any more.
  void AcceptedJobsAreAnsweredInTimeAboveTheCapacity() {
    SimulatedEntry without(0.12, false);
    without.Run(257, std::chrono::seconds(20));
    CPPUNIT_ASSERT(without.useless > without.answered * 8 / 10);
    SimulatedEntry entry(0.12, true);
    entry.Run(257, std::chrono::seconds(20));
    CPPUNIT_ASSERT(entry.refused > 0);
    CPPUNIT_ASSERT(entry.answered > 1500);
    CPPUNIT_ASSERT(entry.useless < entry.answered / 10);
    CPPUNIT_ASSERT(entry.load.Delay(kStart + std::chrono::seconds(20)) < Ms(450));
  }

  // The process stands still for a second at low load. Guards against refusals after it.
  void APauseIsForgottenAfterAFewTicks() {
    SimulatedEntry entry(0.12, true);
    entry.Run(50, std::chrono::seconds(5));
    entry.Pause(std::chrono::seconds(1));
    entry.Run(50, Ms(500));
    const int refused = entry.refused;
    entry.Run(50, std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(refused, entry.refused);
    CPPUNIT_ASSERT(refused <= 60);
  }

  // Twice the usual 110 requests a second for 4 s. Guards against refusals that outlast it.
  void ABurstIsOverSoonAfterItsEnd() {
    SimulatedEntry entry(0.12, true);
    entry.Run(110, std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(0, entry.refused);
    entry.Run(220, std::chrono::seconds(4));
    CPPUNIT_ASSERT(entry.useless < entry.answered / 10);
    entry.Run(110, std::chrono::seconds(1));
    const int refused = entry.refused;
    entry.Run(110, std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(refused, entry.refused);
  }

  // A delay of 300 ms. Guards against refusals of jobs that it does not make useless.
  void JobsWithTimeAreAcceptedWhileUrgentOnesAreNot() {
    EntryLoad load(kTick, std::nullopt);
    core::TimePoint now = kStart;
    for (int i = 0; i < 20; ++i, now += Ms(320)) load.OnTick(Ms(i), now);
    now -= Ms(320);
    JobRequest request = SampleJob("j", 1);
    request.useful_until = now + Ms(450);
    CPPUNIT_ASSERT(load.Refuse(request, now));
    request.useful_until = now + Ms(1500);
    CPPUNIT_ASSERT(!load.Refuse(request, now));
    // Too little time for its own task: not for this to decide.
    EntryLoad idle(kTick, std::nullopt);
    for (int i = 0; i < 20; ++i) idle.OnTick(Ms(i), kStart + i * kTick);
    request.useful_until = kStart + 19 * kTick;
    CPPUNIT_ASSERT(!idle.Refuse(request, kStart + 19 * kTick));
  }

  // Guards against refused callers that all come back at the same time, or never.
  void RetriesOfRefusedCallersAreSpread() {
    EntryLoad load(kTick, 0.12);
    core::TimePoint now = kStart;
    core::Duration used{};
    for (int i = 0; i < 20; ++i, now += Ms(520)) {
      load.OnTick(used, now);
      for (int n = 0; n < 60; ++n) load.OnRequest();
      used += Ms(60);
    }
    now -= Ms(520);
    JobRequest request = SampleJob("j", 1);
    request.useful_until = now + Ms(450);
    core::Duration last{};
    for (int i = 0; i < 100; ++i) {
      const auto retry = load.Refuse(request, now);
      CPPUNIT_ASSERT(retry && *retry >= Ms(1000) && *retry > last);
      last = *retry;
    }
    CPPUNIT_ASSERT(last > Ms(1500));
    for (int i = 0; i < 10000; ++i) {
      CPPUNIT_ASSERT(*load.Refuse(request, now) <= std::chrono::seconds(5));
    }
  }

  // 60 ms of processor time a second at 0.12 cores. Guards against a use that is not related to
  // the limit.
  void ProcessorUseIsThatOfTheLimit() {
    EntryLoad limited(kTick, 0.12);
    EntryLoad unlimited(kTick, std::nullopt);
    for (int i = 0; i <= 100; ++i) {
      const core::Duration used = std::chrono::microseconds(1200 * i);
      limited.OnTick(used, kStart + i * kTick);
      unlimited.OnTick(used, kStart + i * kTick);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{50}, limited.ProcessorPercent());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{6}, unlimited.ProcessorPercent());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryLoadTest);

}  // namespace
}  // namespace coltsfoottide::direct
