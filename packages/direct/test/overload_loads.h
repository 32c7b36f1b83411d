#pragma once

#include <vector>

#include "overload_simulation.h"

// Loads for the tests of load shedding.
namespace coltsfoottide::direct {

// Three kinds of different length and width with their shares of the work, those of
// the first deployment in docs/overload-and-recovery.md.
inline std::vector<OverloadSimulation::Kind> MixedKinds() {
  return {{0, 8, 60, 0.21}, {1, 2, 200, 0.51}, {2, 4, 900, 0.28}};
}

// A steady load of these kinds.
inline OverloadSimulation::Load SteadyLoad(OverloadPolicy policy, double offered) {
  OverloadSimulation::Load load;
  load.policy = policy;
  load.kinds = MixedKinds();
  load.offered = [offered](std::size_t /*kind*/, int /*ms*/) { return offered; };
  return load;
}

// 0.7 of the capacity, and `factor` times as much of a kind, or of all for -1, from
// 2 to 7 s.
inline OverloadSimulation::Load BurstLoad(OverloadPolicy policy, int kind, double factor) {
  OverloadSimulation::Load load = SteadyLoad(policy, 0);
  load.offered = [kind, factor](std::size_t number, int ms) {
    constexpr double kCalm = 0.7;
    const bool burst = (kind < 0 || static_cast<int>(number) == kind) && ms >= 2000 && ms < 7000;
    return burst ? kCalm * factor : kCalm;
  };
  return load;
}

// 0.7 of the capacity times 1.7 from 2 to 11 s, and a quarter of the backend servers
// away for all that time.
inline OverloadSimulation::Load ShrinkLoad(OverloadPolicy policy) {
  OverloadSimulation::Load load = BurstLoad(policy, -1, 1.7);
  load.offered = [](std::size_t /*number*/, int ms) {
    return ms >= 2000 && ms < 11000 ? 1.19 : 0.7;
  };
  load.away = [](int ms) { return ms >= 2000 && ms < 11000 ? 2 : 0; };
  load.length = std::chrono::seconds(13);
  return load;
}

}  // namespace coltsfoottide::direct
