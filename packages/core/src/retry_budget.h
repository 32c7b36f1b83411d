#pragma once

#include <array>
#include <cstdint>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// Limits the retries of refused starts to a share of the recent starts, so that
// backend servers that refuse everything are not flooded.
class RetryBudget {
 public:
  void OnStart(TimePoint now);
  // Takes one retry; returns false if the budget is used up.
  bool TryRetry(TimePoint now);

 private:
  // One bucket per second of the window.
  static constexpr std::size_t kBuckets = 10;
  struct Bucket {
    std::int64_t second = -1;
    std::uint64_t starts = 0;
    std::uint64_t retries = 0;
  };
  Bucket& Current(TimePoint now);

  std::array<Bucket, kBuckets> buckets_{};
};

}  // namespace coltsfoottide::core
