#include "coltsfoottide/direct/connection_order.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace coltsfoottide::direct {

namespace {

// Far longer than a connection without a hello is kept open.
constexpr core::Duration kRetention = std::chrono::seconds(30);
constexpr std::size_t kMaxEarlierProcesses = 16;

}  // namespace

bool ConnectionOrder::OnHello(const std::string& agent, std::uint64_t process, std::uint64_t number,
                              core::TimePoint now) {
  Latest& latest = latest_[agent];
  const std::deque<std::uint64_t>& earlier = latest.earlier_processes;
  if (std::find(earlier.begin(), earlier.end(), process) != earlier.end()) return false;
  const bool known = latest.time != core::TimePoint();
  const bool same_process = known && latest.process == process;
  if (same_process && number != 0 && number <= latest.number) return false;
  if (known && !same_process) {
    latest.earlier_processes.push_back(latest.process);
    if (earlier.size() > kMaxEarlierProcesses) latest.earlier_processes.pop_front();
  }
  latest.process = process;
  latest.number = number;
  latest.time = now;
  return true;
}

void ConnectionOrder::Forget(core::TimePoint now) {
  std::erase_if(latest_, [now](const auto& it) { return now - it.second.time > kRetention; });
}

}  // namespace coltsfoottide::direct
