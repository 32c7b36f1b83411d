#include "coltsfoottide/console/seeded_random.h"

namespace coltsfoottide::console {
namespace {

// The SplitMix64 hash: spreads adjacent numbers over the whole range.
std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

}  // namespace

RandomEngine MakeRandom(std::uint64_t seed, std::uint64_t stream) {
  return RandomEngine(Mix(Mix(seed) ^ stream));
}

}  // namespace coltsfoottide::console
