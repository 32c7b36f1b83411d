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

// The candidate workers and the load each was last known to have, less the
// coordinator's own starts since then.
class LoadView {
 public:
  // Whether tasks of a service can be placed.
  enum class Fit { kUnknownService, kImpossibleNeeds, kPossible };

  // Adds a candidate or takes in what changed of it.
  void SetCandidate(const api::WorkerInfo& info);
  void Remove(const std::string& endpoint);

  // Sets whether starts can be sent to the worker; closed at first.
  void SetOpen(const std::string& endpoint, bool open);
  // Sets the time that a message and its reply take.
  void SetRoundTrip(const std::string& endpoint, Duration round_trip);
  // Forgets the load, before the first message of a new session.
  void ForgetLoad(const std::string& endpoint);
  // Takes in the load that a message carried; older versions are ignored.
  void Update(const std::string& endpoint, const wire::Load& load, TimePoint now);
  // Counts a start on its way. One that answers an offer is already counted
  // by the worker.
  void OnStart(const std::string& endpoint, TimePoint now);
  // Places nothing on the worker until then.
  void Block(const std::string& endpoint, TimePoint until);

  // Whether the worker last told that no reservation waits there.
  bool QueueIsEmpty(const std::string& endpoint);
  // Whether some candidate, eligible or not, could run the task.
  Fit CanRun(const std::string& service, const api::Resources& needs) const;
  // Whether an eligible worker is believed to have a free slot.
  bool AnyFree(const std::string& service, api::JobClass job_class, TimePoint now) const;
  // Workers on which the task can be placed now. When none accepts work,
  // those that have been silent for long enough to be asked again.
  std::vector<WorkerView> Eligible(const std::string& service, const api::Resources& needs,
                                   TimePoint now) const;
  // The earliest time after `now` at which another worker of the service
  // becomes eligible without a message from it.
  TimePoint NextEligible(const std::string& service, TimePoint now) const;

 private:
  struct Entry {
    api::WorkerInfo info;
    wire::Load load;
    TimePoint heard{};
    TimePoint blocked_until{};
    Duration round_trip{};
    bool open = false;
    // Send times of own starts that the load may not include.
    std::deque<TimePoint> in_flight;
  };
  // Free slots as last told, less own starts since then.
  static int FreeSlots(const Entry& entry, TimePoint now);
  static std::uint32_t Queued(const Entry& entry, TimePoint now);
  static bool Usable(const Entry& entry, TimePoint now);
  static TimePoint AskAgainAt(const Entry& entry);
  static WorkerView MakeView(const Entry& entry, TimePoint now);
  Entry* Find(const std::string& endpoint);
  const std::map<std::string, Entry>* OfService(const std::string& service) const;

  // Workers by endpoint, by service.
  std::map<std::string, std::map<std::string, Entry>> services_;
  std::map<std::string, std::string> service_of_;
};

}  // namespace coltsfoottide::core
