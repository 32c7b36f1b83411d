#pragma once

#include <cstdint>
#include <optional>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

struct JobRequest;

// How late an entry serves what has reached it, and which new jobs it has to refuse for that.
// A request waits in the sockets until the event loop comes to it, and so do the reports of its
// tasks; an entry that is slower than its callers would accept jobs that it cannot answer in
// time. Does no I/O: it is given the service times of a periodic timer and the processor time of
// the process.
class EntryLoad {
 public:
  // `tick`: interval of the timer. `cpu_share`: processor limit of the process in cores, or
  // nothing if it has none.
  EntryLoad(core::Duration tick, std::optional<double> cpu_share);

  // The timer is served. `processor_time`: that of the process since its start.
  void OnTick(core::Duration processor_time, core::TimePoint now);

  // Counts a request; the processor time of one is needed for Refuse.
  void OnRequest() { ++requests_; }

  // Returns the retry delay if the job has to be refused: the delay of this entry alone makes
  // its answer useless, even if its tasks take the shortest time that their estimates allow.
  // Retry delays of consecutive refusals differ by the time of one request, so that callers return
  // one after the other. Without samples nothing is refused.
  std::optional<core::Duration> Refuse(const JobRequest& request, core::TimePoint now);

  // Expected time that what is read now has waited: the smoothed delay of the timer, with the
  // delay of the present iteration of the event loop, or what two iterations in a row exceed.
  core::Duration Delay(core::TimePoint now) const;
  // Longest delay of the timer in the last one to two seconds.
  core::Duration LongestDelay() const;
  // Processor use in the last second, in percent of the limit, or of one core without a limit.
  std::uint32_t ProcessorPercent() const { return processor_percent_; }

 private:
  core::Duration DelayOfTick(core::TimePoint now) const;
  void EndInterval(core::Duration processor_time, core::TimePoint now);

  core::Duration tick_;
  std::optional<double> cpu_share_;
  // Unset before the first sample.
  std::optional<core::TimePoint> last_tick_;
  // Of the last two ticks.
  core::Duration last_delay_{};
  core::Duration previous_delay_{};
  core::Duration smoothed_{};

  // The present interval of a second and the one before.
  core::TimePoint interval_start_;
  core::Duration processor_time_at_start_{};
  core::Duration present_longest_{};
  core::Duration last_longest_{};
  std::uint64_t requests_ = 0;
  std::uint32_t processor_percent_ = 0;
  // Time for which one request keeps this entry busy.
  core::Duration time_per_request_;

  // End of the time reserved for refused callers.
  core::TimePoint reserved_until_;
};

}  // namespace coltsfoottide::direct
