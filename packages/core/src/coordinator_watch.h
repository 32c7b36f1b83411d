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

// Tells from the messages of coordinators with waiting calls which of them
// are silent, so that a long job is told from a lost coordinator.
class CoordinatorWatch {
 public:
  enum class Step {
    // Ask whether the coordinator is alive.
    kProbe,
    // Send all waiting calls again over a new connection.
    kAskAgain,
    // The coordinator is lost.
    kLost,
  };
  struct Action {
    std::string endpoint;
    Step step;
  };

  CoordinatorWatch(Duration silence_limit, Duration lost_limit)
      : silence_limit_(silence_limit), lost_limit_(lost_limit) {}

  void AddCall(const std::string& endpoint, std::uint64_t call, TimePoint now);
  void RemoveCall(const std::string& endpoint, std::uint64_t call);

  // Records a reply that the endpoint has sent.
  void Heard(const std::string& endpoint, TimePoint now);

  // Records a closed connection; returns whether to send the calls again now,
  // which is once in each silence.
  bool LinkDown(const std::string& endpoint, TimePoint now);

  // Returns what is due.
  std::vector<Action> Tick(TimePoint now);

  // Returns where the number of the endpoint's unanswered probe is kept (0:
  // none), or null if no call waits for the endpoint.
  std::uint64_t* ProbeOf(const std::string& endpoint);

  // Returns whether the endpoint was asked again and has not replied since.
  bool Silent(const std::string& endpoint) const;

  // Returns the calls that wait for the endpoint.
  std::vector<std::uint64_t> Calls(const std::string& endpoint) const;

  TimePoint NextWake() const { return wakes_.Earliest(); }

 private:
  struct Peer {
    std::set<std::uint64_t> calls;
    // Time of the last reply, or of the first call after a time without any.
    TimePoint quiet_since;
    std::optional<TimePoint> down_since;
    bool probed = false;
    std::uint64_t probe = 0;
    int asked_again = 0;
    TimePoint asked_at;
  };

  TimePoint LostAt(const Peer& peer) const;
  TimePoint AskAgainAt(const Peer& peer) const;
  std::optional<Step> Next(Peer& peer, TimePoint now) const;
  TimePoint WakeOf(const Peer& peer) const;

  Duration silence_limit_;
  Duration lost_limit_;
  std::unordered_map<std::string, Peer> peers_;
  DeadlineSet<std::string> wakes_;
};

}  // namespace coltsfoottide::core
