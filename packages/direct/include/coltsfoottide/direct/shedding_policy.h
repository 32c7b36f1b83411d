#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/admission_control.h"
#include "coltsfoottide/direct/admission_verdict.h"
#include "coltsfoottide/direct/overload_policy.h"
#include "coltsfoottide/direct/priority_class.h"

namespace coltsfoottide::direct {

struct AdmissionRequest;
struct RunOrder;
struct WaitingJob;

// Decides what is delayed, refused or given up when capacity is short: at
// admission in an entry, in the queue of an agent, and for accepted jobs when
// capacity shrinks. Each process decides for itself. With OverloadPolicy::kShared,
// or if all jobs have the same priority, priorities change nothing.
class SheddingPolicy {
 public:
  explicit SheddingPolicy(OverloadPolicy policy);

  // Records a submitted job. `slack` is how long it can wait and still end at
  // its objective; negative if it cannot.
  void OnSubmit(std::uint32_t priority, core::Duration slack, core::TimePoint now);

  // Decides on a job for which OnSubmit has been called, and records its work if
  // it is admitted. Constant cost.
  AdmissionVerdict Decide(const AdmissionRequest& request, core::TimePoint now);

  // Whether the queued run `first`, which goes first by its deadline, lets `other`
  // start before it: `other` is more urgent, and would be late if it waited for
  // the resources that are freed next. `yielded` is how often `first` has let
  // others start; the number is bounded, so that no run starves.
  bool Yields(const RunOrder& first, std::uint32_t yielded, const RunOrder& other,
              core::TimePoint now) const;

  // Whether ChooseGivenUp may choose a job of this priority.
  bool MayGiveUp(std::uint32_t priority, core::TimePoint now) const;

  // Chooses at most `max` of the jobs to give up: those of which nothing has begun,
  // that can no longer be in time, and that wait while more urgent ones are
  // submitted; the least urgent first, among these the ones with the most work.
  std::vector<std::string> ChooseGivenUp(std::vector<WaitingJob> waiting, std::size_t max,
                                         core::TimePoint now) const;

 private:
  // Longest queueing delay at which jobs of the class and of more urgent ones are
  // in time.
  core::Duration LongestDelay(std::size_t priority_class, core::TimePoint now) const;
  // Records whether a submission has found free resources.
  void ObserveLoad(bool free_resources, core::TimePoint now);
  bool MoreUrgentPresent(std::size_t priority_class, core::TimePoint now) const;
  // Whether the class has less than its share of the admitted work.
  bool BelowShare(std::size_t priority_class) const;
  void RecordAdmitted(std::size_t priority_class, std::uint64_t work, core::TimePoint now);

  OverloadPolicy policy_;
  // With kShared only the first is used.
  std::array<AdmissionControl, kPriorityClasses> slack_;
  // How long the class counts as present.
  std::array<core::TimePoint, kPriorityClasses> present_until_;
  // Work of admitted jobs in millicore-milliseconds, halved once in an interval.
  std::array<std::uint64_t, kPriorityClasses> admitted_{};
  core::TimePoint halved_at_;
  // Since when no submission has found free resources.
  std::optional<core::TimePoint> busy_since_;
  core::TimePoint overloaded_until_;
};

}  // namespace coltsfoottide::direct
