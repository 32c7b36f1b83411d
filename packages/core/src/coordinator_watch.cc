#include "coordinator_watch.h"

#include <algorithm>

namespace coltsfoottide::core {

void CoordinatorWatch::AddCall(const std::string& endpoint, std::uint64_t call, TimePoint now) {
  Peer& peer = peers_[endpoint];
  if (peer.calls.empty()) {
    peer.quiet_since = now;
    wakes_.Set(endpoint, WakeOf(peer));
  }
  peer.calls.insert(call);
}

void CoordinatorWatch::RemoveCall(const std::string& endpoint, std::uint64_t call) {
  const auto it = peers_.find(endpoint);
  if (it == peers_.end()) {
    return;
  }
  it->second.calls.erase(call);
  if (it->second.calls.empty()) {
    peers_.erase(it);
    wakes_.Erase(endpoint);
  }
}

void CoordinatorWatch::Heard(const std::string& endpoint, TimePoint now) {
  const auto it = peers_.find(endpoint);
  if (it == peers_.end()) {
    return;
  }
  // The wake is not moved here: it comes early and is then set again, which
  // is cheaper than a change for each reply.
  Peer& peer = it->second;
  peer.quiet_since = now;
  peer.down_since.reset();
  peer.probed = false;
  peer.probe = 0;
  peer.asked_again = 0;
}

bool CoordinatorWatch::LinkDown(const std::string& endpoint, TimePoint now) {
  const auto it = peers_.find(endpoint);
  if (it == peers_.end() || it->second.down_since) {
    return false;
  }
  it->second.down_since = now;
  it->second.probed = true;
  ++it->second.asked_again;
  it->second.asked_at = now;
  wakes_.Set(endpoint, WakeOf(it->second));
  return true;
}

std::vector<CoordinatorWatch::Action> CoordinatorWatch::Tick(TimePoint now) {
  std::vector<Action> actions;
  for (const std::string& endpoint : wakes_.TakeDue(now)) {
    Peer& peer = peers_[endpoint];
    if (const auto step = Next(peer, now)) {
      actions.push_back({endpoint, *step});
    }
    wakes_.Set(endpoint, std::max(WakeOf(peer), now + Duration(1)));
  }
  return actions;
}

std::uint64_t* CoordinatorWatch::ProbeOf(const std::string& endpoint) {
  const auto it = peers_.find(endpoint);
  return it == peers_.end() ? nullptr : &it->second.probe;
}

bool CoordinatorWatch::Silent(const std::string& endpoint) const {
  const auto it = peers_.find(endpoint);
  return it != peers_.end() && it->second.asked_again > 0;
}

std::vector<std::uint64_t> CoordinatorWatch::Calls(const std::string& endpoint) const {
  const auto it = peers_.find(endpoint);
  return it == peers_.end()
             ? std::vector<std::uint64_t>()
             : std::vector<std::uint64_t>(it->second.calls.begin(), it->second.calls.end());
}

TimePoint CoordinatorWatch::LostAt(const Peer& peer) const {
  // An entry that was paused itself finds a long silence whose replies are
  // still unread, so a coordinator is lost only after it was asked again.
  if (peer.asked_again == 0) {
    return TimePoint::max();
  }
  const TimePoint silent =
      std::max(peer.quiet_since + lost_limit_, peer.asked_at + silence_limit_ / 2);
  return peer.down_since ? std::min(silent, *peer.down_since + silence_limit_) : silent;
}

TimePoint CoordinatorWatch::AskAgainAt(const Peer& peer) const {
  return (peer.asked_again == 0 ? peer.quiet_since : peer.asked_at) + silence_limit_;
}

std::optional<CoordinatorWatch::Step> CoordinatorWatch::Next(Peer& peer, TimePoint now) const {
  if (now >= LostAt(peer)) {
    return Step::kLost;
  }
  if (now >= AskAgainAt(peer)) {
    ++peer.asked_again;
    peer.asked_at = now;
    peer.probed = true;
    return Step::kAskAgain;
  }
  if (!peer.probed && now >= peer.quiet_since + silence_limit_ / 2) {
    peer.probed = true;
    return Step::kProbe;
  }
  return std::nullopt;
}

TimePoint CoordinatorWatch::WakeOf(const Peer& peer) const {
  const TimePoint next = peer.probed ? AskAgainAt(peer) : peer.quiet_since + silence_limit_ / 2;
  return std::min(next, LostAt(peer));
}

}  // namespace coltsfoottide::core
