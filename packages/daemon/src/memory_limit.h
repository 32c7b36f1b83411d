#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace coltsfoottide::daemon {

// Memory that this process may use, in bytes: the setting, or if it is 0 the lowest limit of its
// cgroup and its resources, or if there is none a fixed default.
std::size_t ProcessMemoryLimit(std::uint32_t setting_mb);

// The bytes that a process with such a limit lets its clients make it hold.
std::size_t ClientBudgetBytes(std::size_t limit_bytes);

// Returns the number in the text of a cgroup's limit, or SIZE_MAX if it has none.
std::size_t ParseCgroupLimit(const std::string& text);

}  // namespace coltsfoottide::daemon
