#include "coltsfoottide/direct/speed_estimate.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <vector>

#include "direct_samples.h"

namespace coltsfoottide::direct {
namespace {

constexpr int kMinRuns = 64;

// Ends `runs` runs whose estimates are off by up to 40%, of which one in `long_interval` takes
// seven times as long, on a backend server at this speed.
void EndRuns(SpeedEstimate& speed, int runs, double server_speed, int long_interval,
             std::uint32_t seed) {
  std::mt19937 random(seed);
  std::uniform_real_distribution<double> error(0.6, 1.4);
  for (int i = 0; i < runs; ++i) {
    const double work_ms = 200 * (long_interval > 0 && i % long_interval == 0 ? 7 : 1);
    const auto estimate = static_cast<std::int64_t>(200 * error(random));
    speed.OnEnded(Ms(static_cast<std::int64_t>(work_ms / server_speed)), Ms(estimate), kStart);
  }
}

class SpeedEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpeedEstimateTest);
  CPPUNIT_TEST(FewRunsSayNothing);
  CPPUNIT_TEST(OldRunsAreForgotten);
  CPPUNIT_TEST(OneLongRunHardlyChangesIt);
  CPPUNIT_TEST(FollowsTheSpeedDespiteErrorsAndLongRuns);
  CPPUNIT_TEST(IsAlwaysWithinTheSamples);
  CPPUNIT_TEST_SUITE_END();

  // Guards against taking a backend server as slow after a few runs, or after runs without an
  // estimate.
  void FewRunsSayNothing() {
    SpeedEstimate speed;
    EndRuns(speed, kMinRuns - 1, 0.5, 0, 1);
    speed.OnEnded(Ms(100), Ms(0), kStart);
    CPPUNIT_ASSERT(!speed.Ratio(kStart));
    EndRuns(speed, 1, 0.5, 0, 1);
    CPPUNIT_ASSERT(speed.Ratio(kStart).has_value());
    speed.Reset();
    CPPUNIT_ASSERT(!speed.Ratio(kStart));
  }

  // Guards against a backend server that stays avoided after a fault has ended.
  void OldRunsAreForgotten() {
    SpeedEstimate speed;
    EndRuns(speed, 2 * kMinRuns, 0.25, 0, 1);
    CPPUNIT_ASSERT(speed.Ratio(kStart + Ms(29'000)).has_value());
    CPPUNIT_ASSERT(!speed.Ratio(kStart + Ms(31'000)));
  }

  // Guards against a speed that follows a task of seven times its estimate.
  void OneLongRunHardlyChangesIt() {
    rc::check("one run of any length", [] {
      const auto seed = *rc::gen::arbitrary<std::uint32_t>();
      const auto length_ms = *rc::gen::inRange(1, 100'000);
      SpeedEstimate speed;
      EndRuns(speed, *rc::gen::inRange(kMinRuns, 200), 1.0, 0, seed);
      const double before = *speed.Ratio(kStart);
      speed.OnEnded(Ms(length_ms), Ms(200), kStart);
      RC_ASSERT(std::abs(*speed.Ratio(kStart) / before - 1) < 0.1);
    });
  }

  // 3 to 10 of 100 tasks take seven times their estimate. Guards against an estimate whose error
  // reaches the difference from which speeds count in placement.
  void FollowsTheSpeedDespiteErrorsAndLongRuns() {
    rc::check("any speed", [] {
      const double server_speed = *rc::gen::inRange(20, 300) / 100.0;
      SpeedEstimate speed;
      EndRuns(speed, *rc::gen::inRange(kMinRuns, 300), server_speed, *rc::gen::inRange(10, 34),
              *rc::gen::arbitrary<std::uint32_t>());
      const double error = *speed.Ratio(kStart) * server_speed;
      RC_ASSERT(error > 0.75);
      RC_ASSERT(error < 1.0 / 0.75);
    });
  }

  // Guards against a median that is wrong for some number of samples.
  void IsAlwaysWithinTheSamples() {
    rc::check("any runs", [] {
      const auto times = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 10'000));
      SpeedEstimate speed;
      for (const int it : times) speed.OnEnded(Ms(it), Ms(100), kStart);
      const auto ratio = speed.Ratio(kStart);
      RC_ASSERT(ratio.has_value() == (times.size() >= kMinRuns));
      if (!ratio) return;
      const auto above = std::count_if(times.begin(), times.end(),
                                       [&](int it) { return it / 100.0 >= *ratio - 1e-9; });
      // The oldest of more than 128 runs are left out.
      if (times.size() <= 128) RC_ASSERT(above * 2 >= static_cast<std::ptrdiff_t>(times.size()));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpeedEstimateTest);

}  // namespace
}  // namespace coltsfoottide::direct
