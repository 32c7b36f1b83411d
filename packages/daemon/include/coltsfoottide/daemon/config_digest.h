#pragma once

#include <cstdint>

namespace coltsfoottide::core {
class ConfigState;
}  // namespace coltsfoottide::core

namespace coltsfoottide::daemon {

// Returns 48 bits of a SHA-256 over items and roster. Processes that have
// applied the same records have the same digest.
std::uint64_t ConfigDigest(const core::ConfigState& config);

}  // namespace coltsfoottide::daemon
