#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>

namespace coltsfoottide::console {

// Boost's generator and distributions give the same numbers with every
// standard library, so a printed seed repeats a run elsewhere.
using RandomEngine = boost::random::mt19937_64;

// Makes the generator of one stream of a seed; different streams are
// independent.
RandomEngine MakeRandom(std::uint64_t seed, std::uint64_t stream);

}  // namespace coltsfoottide::console
