#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "deadline_set.h"

namespace coltsfoottide::core {

// Failure detector for coordinators with waiting calls: finds those that do not
// reply, so that a lost coordinator is distinguished from one with a long job.
class CoordinatorMonitor {
 public:
  enum class Step {
    // Ask whether the coordinator is alive.
    kProbe,
    // Send all waiting calls again over a new connection.
    kResend,
    // The coordinator is lost.
    kLost,
  };
  struct Action {
    std::string endpoint;
    Step step;
  };

  CoordinatorMonitor(Duration silence_timeout, Duration lost_timeout)
      : silence_timeout_(silence_timeout), lost_timeout_(lost_timeout) {}

  void AddCall(const std::string& endpoint, std::uint64_t call, TimePoint now);
  void RemoveCall(const std::string& endpoint, std::uint64_t call);

  // Records a reply that the endpoint has sent.
  void OnReply(const std::string& endpoint, TimePoint now);

  // Records a closed connection; returns whether to send the calls again now.
  // Returns true once until the next reply.
  bool OnLinkDown(const std::string& endpoint, TimePoint now);

  // Returns the actions that are due.
  std::vector<Action> Tick(TimePoint now);

  // Returns the request number of the endpoint's unanswered probe (0: none), for
  // the caller to set, or null if no call waits for the endpoint.
  std::uint64_t* ProbeRequest(const std::string& endpoint);

  // Returns whether the endpoint's calls were sent again and it has not replied
  // since.
  bool IsSilent(const std::string& endpoint) const;

  // Returns the calls that wait for the endpoint.
  std::vector<std::uint64_t> Calls(const std::string& endpoint) const;

  TimePoint NextWake() const { return timers_.Earliest(); }

 private:
  struct Peer {
    std::set<std::uint64_t> calls;
    // Time of the last reply, or the time at which calls began to wait if none
    // has arrived since.
    TimePoint silent_since;
    // When its connection closed, if it has not replied since.
    std::optional<TimePoint> down_since;
    // A probe was sent since `silent_since`.
    bool probed = false;
    // Request number of the unanswered probe, or 0.
    std::uint64_t probe_request = 0;
    // How often the calls were sent again since the last reply, and when last.
    int resends = 0;
    TimePoint resent_at;
  };

  TimePoint LostAt(const Peer& peer) const;
  TimePoint ResendAt(const Peer& peer) const;
  std::optional<Step> NextStep(Peer& peer, TimePoint now) const;
  TimePoint NextStepAt(const Peer& peer) const;

  Duration silence_timeout_;
  Duration lost_timeout_;
  std::unordered_map<std::string, Peer> peers_;
  DeadlineSet<std::string> timers_;
};

}  // namespace coltsfoottide::core
