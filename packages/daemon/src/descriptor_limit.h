#pragma once

#include <cstddef>

namespace coltsfoottide::daemon {

// Number of file descriptors that this process may have open.
std::size_t DescriptorLimit();

// Connections of callers that a process with so many descriptors accepts at the same time.
// The rest is for agents, other entries and the store, without which no caller is served.
std::size_t MaxCallerConnections(std::size_t descriptors);

}  // namespace coltsfoottide::daemon
