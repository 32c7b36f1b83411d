#pragma once

#include <cstdint>
#include <string_view>

namespace coltsfoottide::core {

// Returns a well mixed hash that is the same in every process (std::hash
// promises neither).
constexpr std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0) {
  std::uint64_t hash = 0xcbf29ce484222325ULL ^ (seed * 0x9e3779b97f4a7c15ULL);
  for (const char ch : text) {
    hash = (hash ^ static_cast<unsigned char>(ch)) * 0x100000001b3ULL;
  }
  // Finalizer of SplitMix64: FNV-1a alone mixes the last bytes poorly.
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

}  // namespace coltsfoottide::core
