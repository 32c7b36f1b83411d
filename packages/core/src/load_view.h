#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "coltsfoottide/core/placement.h"
#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// The candidate workers with the last reported load of each, to which the
// coordinator's own starts since then are added.
class LoadView {
 public:
  // Result of CanRun.
  enum class Fit { kUnknownService, kImpossibleNeeds, kPossible };

  // Adds or updates a candidate.
  void SetCandidate(const api::WorkerInfo& info);
  void Remove(const std::string& endpoint);

  // Sets whether starts can be sent to the worker; false at first.
  void SetReachable(const std::string& endpoint, bool reachable);
  // Sets the measured time from a message to its reply.
  void SetRoundTrip(const std::string& endpoint, Duration round_trip);
  // Clears the reported load and the starts in flight when a new session opens.
  void ClearLoad(const std::string& endpoint);
  // Records the load that a message carried; older versions are ignored.
  void Update(const std::string& endpoint, const wire::Load& load, TimePoint now);
  // Counts a start in flight. Not called for a start that answers an offer,
  // which the worker counts as busy already.
  void OnStart(const std::string& endpoint, TimePoint now);
  // Makes the worker ineligible until the given time.
  void Block(const std::string& endpoint, TimePoint until);

  // Returns whether the worker last reported an empty reservation queue.
  bool QueueIsEmpty(const std::string& endpoint);
  // Checks the service and needs of a task against all candidates, eligible or
  // not.
  Fit CanRun(const std::string& service, const api::Resources& needs) const;
  // Returns whether an eligible worker is estimated to have a free slot.
  bool AnyFree(const std::string& service, api::JobClass job_class, TimePoint now) const;
  // Returns the workers on which the task can be placed now. If none accepts
  // work, returns those that are due to be tried again.
  std::vector<WorkerView> Eligible(const std::string& service, const api::Resources& needs,
                                   TimePoint now) const;
  // Returns the earliest time after `now` at which another worker of the
  // service becomes eligible without a message from it.
  TimePoint NextEligible(const std::string& service, TimePoint now) const;

 private:
  struct Entry {
    api::WorkerInfo info;
    wire::Load load;
    TimePoint last_update{};
    TimePoint blocked_until{};
    Duration round_trip{};
    bool reachable = false;
    // Send times of own starts that the load may not include.
    std::deque<TimePoint> in_flight;
  };
  // Last reported free slots less the starts in flight. If the report is stale
  // and this leaves 0 or 1 and fewer than all slots, one more is assumed free.
  static int FreeSlots(const Entry& entry, TimePoint now);
  static std::uint32_t Queued(const Entry& entry, TimePoint now);
  static bool Usable(const Entry& entry, TimePoint now);
  static TimePoint RetryAt(const Entry& entry);
  static WorkerView MakeView(const Entry& entry, TimePoint now);
  Entry* Find(const std::string& endpoint);
  const std::map<std::string, Entry>* OfService(const std::string& service) const;

  // Workers by service, then by endpoint.
  std::map<std::string, std::map<std::string, Entry>> services_;
  std::map<std::string, std::string> service_of_;
};

}  // namespace coltsfoottide::core
