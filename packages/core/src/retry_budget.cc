#include "retry_budget.h"

namespace coltsfoottide::core {
namespace {

// The budget for the last kBuckets seconds: one retry for each kStartsPerRetry
// starts, plus kFreeRetries.
constexpr std::uint64_t kStartsPerRetry = 10;
constexpr std::uint64_t kFreeRetries = 10;

std::int64_t SecondOf(TimePoint now) {
  return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

}  // namespace

void RetryBudget::OnStart(TimePoint now) { ++Current(now).starts; }

bool RetryBudget::TryRetry(TimePoint now) {
  const std::int64_t oldest = SecondOf(now) - static_cast<std::int64_t>(kBuckets) + 1;
  std::uint64_t starts = 0;
  std::uint64_t retries = 0;
  for (const Bucket& bucket : buckets_) {
    if (bucket.second >= oldest) {
      starts += bucket.starts;
      retries += bucket.retries;
    }
  }
  if (retries >= starts / kStartsPerRetry + kFreeRetries) {
    return false;
  }
  ++Current(now).retries;
  return true;
}

RetryBudget::Bucket& RetryBudget::Current(TimePoint now) {
  const std::int64_t second = SecondOf(now);
  Bucket& bucket = buckets_[static_cast<std::size_t>(second) % kBuckets];
  if (bucket.second != second) {
    bucket = Bucket{second, 0, 0};
  }
  return bucket;
}

}  // namespace coltsfoottide::core
