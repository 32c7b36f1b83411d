#include "coordinator_monitor.h"

#include <algorithm>

namespace coltsfoottide::core {

void CoordinatorMonitor::AddCall(const std::string& endpoint, std::uint64_t call, TimePoint now) {
  Peer& peer = peers_[endpoint];
  if (peer.calls.empty()) {
    peer.silent_since = now;
    timers_.Set(endpoint, NextStepAt(peer));
  }
  peer.calls.insert(call);
}

void CoordinatorMonitor::RemoveCall(const std::string& endpoint, std::uint64_t call) {
  const auto it = peers_.find(endpoint);
  if (it == peers_.end()) {
    return;
  }
  it->second.calls.erase(call);
  if (it->second.calls.empty()) {
    peers_.erase(it);
    timers_.Erase(endpoint);
  }
}

void CoordinatorMonitor::OnReply(const std::string& endpoint, TimePoint now) {
  const auto it = peers_.find(endpoint);
  if (it == peers_.end()) {
    return;
  }
  // The timer is not moved here: it expires early and is then set again, which is
  // cheaper than setting it for each reply.
  Peer& peer = it->second;
  peer.silent_since = now;
  peer.down_since.reset();
  peer.probed = false;
  peer.probe_request = 0;
  peer.resends = 0;
}

bool CoordinatorMonitor::OnLinkDown(const std::string& endpoint, TimePoint now) {
  const auto it = peers_.find(endpoint);
  if (it == peers_.end() || it->second.down_since) {
    return false;
  }
  it->second.down_since = now;
  it->second.probed = true;
  ++it->second.resends;
  it->second.resent_at = now;
  timers_.Set(endpoint, NextStepAt(it->second));
  return true;
}

std::vector<CoordinatorMonitor::Action> CoordinatorMonitor::Tick(TimePoint now) {
  std::vector<Action> actions;
  for (const std::string& endpoint : timers_.TakeDue(now)) {
    Peer& peer = peers_[endpoint];
    if (const auto step = NextStep(peer, now)) {
      actions.push_back({endpoint, *step});
    }
    timers_.Set(endpoint, std::max(NextStepAt(peer), now + Duration(1)));
  }
  return actions;
}

std::uint64_t* CoordinatorMonitor::ProbeRequest(const std::string& endpoint) {
  const auto it = peers_.find(endpoint);
  return it == peers_.end() ? nullptr : &it->second.probe_request;
}

bool CoordinatorMonitor::IsSilent(const std::string& endpoint) const {
  const auto it = peers_.find(endpoint);
  return it != peers_.end() && it->second.resends > 0;
}

std::vector<std::uint64_t> CoordinatorMonitor::Calls(const std::string& endpoint) const {
  const auto it = peers_.find(endpoint);
  return it == peers_.end()
             ? std::vector<std::uint64_t>()
             : std::vector<std::uint64_t>(it->second.calls.begin(), it->second.calls.end());
}

TimePoint CoordinatorMonitor::LostAt(const Peer& peer) const {
  // An entry that was paused itself finds a long silence while replies are still
  // unread, so a coordinator is lost only after its calls were sent again.
  if (peer.resends == 0) {
    return TimePoint::max();
  }
  const TimePoint silence_deadline =
      std::max(peer.silent_since + lost_timeout_, peer.resent_at + silence_timeout_ / 2);
  return peer.down_since ? std::min(silence_deadline, *peer.down_since + silence_timeout_)
                         : silence_deadline;
}

TimePoint CoordinatorMonitor::ResendAt(const Peer& peer) const {
  return (peer.resends == 0 ? peer.silent_since : peer.resent_at) + silence_timeout_;
}

std::optional<CoordinatorMonitor::Step> CoordinatorMonitor::NextStep(Peer& peer,
                                                                     TimePoint now) const {
  if (now >= LostAt(peer)) {
    return Step::kLost;
  }
  if (now >= ResendAt(peer)) {
    ++peer.resends;
    peer.resent_at = now;
    peer.probed = true;
    return Step::kResend;
  }
  if (!peer.probed && now >= peer.silent_since + silence_timeout_ / 2) {
    peer.probed = true;
    return Step::kProbe;
  }
  return std::nullopt;
}

TimePoint CoordinatorMonitor::NextStepAt(const Peer& peer) const {
  const TimePoint next = peer.probed ? ResendAt(peer) : peer.silent_since + silence_timeout_ / 2;
  return std::min(next, LostAt(peer));
}

}  // namespace coltsfoottide::core
