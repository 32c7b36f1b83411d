#include "coltsfoottide/console/arrivals.h"

#include <boost/random/exponential_distribution.hpp>

#include "coltsfoottide/console/seeded_random.h"

namespace coltsfoottide::console {
namespace {

// Random stream of the arrival times. Job n uses stream n of the same seed, and
// TicketPool uses stream 0.
constexpr std::uint64_t kArrivalStream = ~std::uint64_t{0};

}  // namespace

std::vector<core::Duration> GenerateArrivals(std::uint64_t seed, double rate,
                                             std::chrono::milliseconds duration) {
  RandomEngine random = MakeRandom(seed, kArrivalStream);
  boost::random::exponential_distribution<> gap_seconds(rate);
  std::vector<core::Duration> times;
  std::chrono::duration<double> time{gap_seconds(random)};
  while (time < duration) {
    times.push_back(std::chrono::duration_cast<core::Duration>(time));
    time += std::chrono::duration<double>(gap_seconds(random));
  }
  return times;
}

}  // namespace coltsfoottide::console
