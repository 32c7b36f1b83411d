#pragma once

#include <cstdint>

namespace coltsfoottide::core {
class ConfigState;
}  // namespace coltsfoottide::core

namespace coltsfoottide::daemon {

// Returns the first 48 bits of a SHA-256 over the configuration state (next
// offset, items, roster and its version), without the change outcomes. Processes
// that have applied the same records have the same digest.
std::uint64_t ConfigDigest(const core::ConfigState& config);

}  // namespace coltsfoottide::daemon
