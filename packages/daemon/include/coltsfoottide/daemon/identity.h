#pragma once

#include <cstdint>

namespace coltsfoottide::daemon {

// Returns 64 random bits from the operating system, never 0. Names one
// incarnation of a process, or seeds a generator.
std::uint64_t MakeIncarnation();

}  // namespace coltsfoottide::daemon
