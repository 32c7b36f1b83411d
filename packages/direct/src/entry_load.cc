#include "coltsfoottide/direct/entry_load.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "coltsfoottide/direct/critical_path.h"
#include "coltsfoottide/direct/job_request.h"
#include "coltsfoottide/direct/time_bounds.h"

namespace coltsfoottide::direct {

namespace {

constexpr core::Duration kInterval = std::chrono::seconds(1);
// Part of a new sample in the smoothed delay. In an overload a sample covers a whole iteration
// of the event loop, so that two or three decide; after a single pause one or two ticks without
// delay do.
constexpr int kSmoothing = 4;
// A job waits for three iterations of the event loop: its connection is accepted, its request is
// read, and the reports of its tasks are read. The fourth allows for iterations that take longer
// meanwhile, as they do while an overload begins.
constexpr int kWaits = 4;
// Until the first second is over; the time that one request takes at half a core was measured
// as 1.7 ms with that of the kernel.
constexpr core::Duration kInitialTimePerRequest = std::chrono::milliseconds(2);
// A caller that is told to come back would find the entry as it is now before this time, and
// would not wait longer than the upper limit.
constexpr core::Duration kMinRetryDelay = std::chrono::seconds(1);
constexpr core::Duration kMaxRetryDelay = std::chrono::seconds(5);

}  // namespace

EntryLoad::EntryLoad(core::Duration tick, std::optional<double> cpu_share)
    : tick_(tick), cpu_share_(cpu_share), time_per_request_(kInitialTimePerRequest) {}

core::Duration EntryLoad::DelayOfTick(core::TimePoint now) const {
  if (!last_tick_) return core::Duration::zero();
  return std::max(now - *last_tick_ - tick_, core::Duration::zero());
}

void EntryLoad::OnTick(core::Duration processor_time, core::TimePoint now) {
  if (!last_tick_) {
    interval_start_ = now;
    processor_time_at_start_ = processor_time;
  }
  const core::Duration delay = DelayOfTick(now);
  previous_delay_ = std::exchange(last_delay_, delay);
  smoothed_ += (delay - smoothed_) / kSmoothing;
  present_longest_ = std::max(present_longest_, delay);
  last_tick_ = now;
  if (now - interval_start_ >= kInterval) EndInterval(processor_time, now);
}

void EntryLoad::EndInterval(core::Duration processor_time, core::TimePoint now) {
  constexpr double kPercent = 100.0;
  const std::chrono::duration<double> elapsed = now - interval_start_;
  const std::chrono::duration<double> used = processor_time - processor_time_at_start_;
  const double share = cpu_share_.value_or(1.0);
  processor_percent_ = static_cast<std::uint32_t>(kPercent * used / (elapsed * share));
  if (requests_ > 0) {
    time_per_request_ =
        std::chrono::duration_cast<core::Duration>(used / share / static_cast<double>(requests_));
  }
  requests_ = 0;
  interval_start_ = now;
  processor_time_at_start_ = processor_time;
  last_longest_ = present_longest_;
  present_longest_ = core::Duration::zero();
}

core::Duration EntryLoad::Delay(core::TimePoint now) const {
  const core::Duration present = DelayOfTick(now);
  const core::Duration smoothed =
      present <= smoothed_ ? smoothed_ : smoothed_ + (present - smoothed_) / kSmoothing;
  // Two long iterations in a row are an overload, and a single one may be a pause.
  return std::max(smoothed, std::min(last_delay_, std::max(present, previous_delay_)));
}

core::Duration EntryLoad::LongestDelay() const { return std::max(present_longest_, last_longest_); }

std::optional<core::Duration> EntryLoad::Refuse(const JobRequest& request, core::TimePoint now) {
  const core::Duration shortest = MinRunTime(CriticalPathTime(request.steps));
  const core::Duration delay = Delay(now);
  // Without a delay the job is of no concern here, whatever time it has.
  if (delay <= core::Duration::zero()) return std::nullopt;
  if (now + kWaits * delay + shortest <= request.useful_until) return std::nullopt;
  reserved_until_ = std::max(reserved_until_, now + kMinRetryDelay) + time_per_request_;
  reserved_until_ = std::min(reserved_until_, now + kMaxRetryDelay);
  return reserved_until_ - now;
}

}  // namespace coltsfoottide::direct
