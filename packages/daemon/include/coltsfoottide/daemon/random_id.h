#pragma once

#include <cstdint>

namespace coltsfoottide::daemon {

// Returns 64 random bits from the operating system, never 0. Used as the id of
// one incarnation of a process, or as the seed of a random generator.
std::uint64_t MakeRandomId();

}  // namespace coltsfoottide::daemon
