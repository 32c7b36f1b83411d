#pragma once

#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// A set of jobs, by 32-bit hashes, that forgets them some time after they were added. May contain
// a job that was not added, as hashes of different jobs may be equal.
class JobFilter {
 public:
  static std::uint32_t Hash(const std::string& job);

  // Jobs are kept for one to two `retention` periods.
  explicit JobFilter(core::Duration retention) : retention_(retention) {}

  void Add(std::uint32_t hash, core::TimePoint now);
  bool Contains(std::uint32_t hash) const;

  // In no particular order.
  std::vector<std::uint32_t> hashes() const;

 private:
  const core::Duration retention_;
  std::unordered_set<std::uint32_t> recent_;
  // Those of the period before.
  std::unordered_set<std::uint32_t> older_;
  core::TimePoint recent_since_;
};

}  // namespace coltsfoottide::direct
