#include "memory_limit.h"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <limits>

namespace coltsfoottide::daemon {

namespace {

constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;
// Without any limit: the memory of the largest documented machines.
constexpr std::size_t kDefaultLimitBytes = 512 * kMebibyte;
// An entry uses 20 to 30 MB at rest.
constexpr std::size_t kOwnBytes = 32 * kMebibyte;
// Part of the rest that is left to the allocator, to the kernel and to the process's work under
// load.
constexpr std::size_t kOverheadPart = 5;
// Enough for one body of 262,144 bytes and small requests beside it, also on a machine that is
// smaller than the documented ones.
constexpr std::size_t kMinBudgetBytes = 2 * kMebibyte;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// The limit of this process's cgroup, in version 2 of the file system.
std::size_t CgroupLimit() {
  const std::string groups = ReadFile("/proc/self/cgroup");
  const std::string prefix = "0::";
  const std::size_t begin = groups.find(prefix);
  std::string path = "/";
  if (begin != std::string::npos) {
    const std::size_t name = begin + prefix.size();
    path = groups.substr(name, groups.find('\n', name) - name);
  }
  const std::size_t limit = ParseCgroupLimit(ReadFile("/sys/fs/cgroup" + path + "/memory.max"));
  // In a cgroup namespace the group of the process is the root of the mount.
  return std::min(limit, ParseCgroupLimit(ReadFile("/sys/fs/cgroup/memory.max")));
}

std::size_t ResourceLimit(int resource) {
  rlimit limit{};
  const bool unknown = ::getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY;
  return unknown ? kUnlimited : limit.rlim_cur;
}

}  // namespace

std::size_t ParseCgroupLimit(const std::string& text) {
  std::size_t limit = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), limit);
  return ec == std::errc() && limit > 0 ? limit : kUnlimited;
}

std::size_t ProcessMemoryLimit(std::uint32_t setting_mb) {
  if (setting_mb > 0) return setting_mb * kMebibyte;
  const std::size_t limit =
      std::min({CgroupLimit(), ResourceLimit(RLIMIT_AS), ResourceLimit(RLIMIT_DATA)});
  return limit == kUnlimited ? kDefaultLimitBytes : limit;
}

std::size_t ClientBudgetBytes(std::size_t limit_bytes) {
  if (limit_bytes <= kOwnBytes) return kMinBudgetBytes;
  const std::size_t rest = limit_bytes - kOwnBytes;
  return std::max(rest - rest / kOverheadPart, kMinBudgetBytes);
}

}  // namespace coltsfoottide::daemon
