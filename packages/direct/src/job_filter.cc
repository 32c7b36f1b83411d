#include "coltsfoottide/direct/job_filter.h"

#include <algorithm>
#include <iterator>

#include "coltsfoottide/core/stable_hash.h"

namespace coltsfoottide::direct {

std::uint32_t JobFilter::Hash(const std::string& job) {
  return static_cast<std::uint32_t>(core::StableHash(job));
}

void JobFilter::Add(std::uint32_t hash, core::TimePoint now) {
  if (now - recent_since_ >= retention_) {
    older_.swap(recent_);
    recent_.clear();
    recent_since_ = now;
  }
  recent_.insert(hash);
}

bool JobFilter::Contains(std::uint32_t hash) const {
  return recent_.contains(hash) || older_.contains(hash);
}

std::vector<std::uint32_t> JobFilter::hashes() const {
  std::vector<std::uint32_t> hashes(recent_.begin(), recent_.end());
  std::copy_if(older_.begin(), older_.end(), std::back_inserter(hashes),
               [this](std::uint32_t it) { return !recent_.contains(it); });
  return hashes;
}

}  // namespace coltsfoottide::direct
