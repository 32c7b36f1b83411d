#include "evidence_tracker.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "coltsfoottide/core/config_state.h"
#include "majority.h"
#include "peer_table.h"

namespace coltsfoottide::core {
namespace {

// Whether the peer's last status is known to be recent on this entry's own
// clock and the peer has applied nothing beyond `config`.
bool ConfirmsConfig(const PeerTable::Peer& peer, const ConfigState& config, Duration validity,
                    TimePoint now) {
  return peer.sent_after && now - *peer.sent_after <= validity &&
         peer.reported_next <= config.next_offset();
}

}  // namespace

EvidenceTracker::EvidenceTracker(std::string endpoint, std::uint64_t incarnation, Duration validity)
    : endpoint_(std::move(endpoint)), incarnation_(incarnation), validity_(validity) {}

void EvidenceTracker::OnRead(TimePoint started, bool complete) {
  last_read_ = started;
  inconsistent_ = false;
  if (complete) {
    last_complete_read_ = started;
  }
}

void EvidenceTracker::OnInconsistent() {
  last_read_.reset();
  last_complete_read_.reset();
  inconsistent_ = true;
}

bool EvidenceTracker::LogReadable(TimePoint now) const {
  return last_read_ && now - *last_read_ <= validity_;
}

std::optional<Duration> EvidenceTracker::ReadAge(TimePoint now) const {
  if (!last_complete_read_ || now - *last_complete_read_ > validity_) {
    return std::nullopt;
  }
  return now - *last_complete_read_;
}

std::optional<Duration> EvidenceTracker::Age(const ConfigState& config, const PeerTable& peers,
                                             std::uint64_t known_next, TimePoint now) const {
  if (config.next_offset() == 0) {
    return std::nullopt;
  }
  if (const auto age = ReadAge(now)) {
    return age;
  }
  if (LogReadable(now) || known_next > config.next_offset()) {
    return std::nullopt;
  }
  const auto time =
      std::max(TimeFromReader(config, peers, now), TimeFromMajority(config, peers, now));
  return time ? std::optional(now - *time) : std::nullopt;
}

std::optional<TimePoint> EvidenceTracker::TimeFromReader(const ConfigState& config,
                                                         const PeerTable& peers,
                                                         TimePoint now) const {
  std::optional<TimePoint> newest;
  const auto max_read_age_us = static_cast<std::uint64_t>(validity_.count());
  for (const auto& [endpoint, peer] : peers.peers()) {
    if (!ConfirmsConfig(peer, config, validity_, now) || !peer.status.log_readable() ||
        peer.status.log_read_age_us() > max_read_age_us) {
      continue;
    }
    const Duration read_age(peer.status.log_read_age_us());
    newest = std::max(newest, std::optional(*peer.sent_after - read_age));
  }
  return newest;
}

std::optional<TimePoint> EvidenceTracker::TimeFromMajority(const ConfigState& config,
                                                           const PeerTable& peers,
                                                           TimePoint now) const {
  std::vector<TimePoint> votes;
  for (const auto& item : config.roster()) {
    if (item.endpoint() == endpoint_) {
      if (item.incarnation() == incarnation_ && voting_) {
        votes.push_back(now);
      }
      continue;
    }
    const PeerTable::Peer* peer = peers.Find(item.endpoint(), item.incarnation());
    if (peer != nullptr && !peer->status.log_readable() &&
        ConfirmsConfig(*peer, config, validity_, now)) {
      votes.push_back(*peer->sent_after);
    }
  }
  const std::size_t majority = MajorityOf(config.roster().size());
  if (config.roster().empty() || votes.size() < majority) {
    return std::nullopt;
  }
  // The evidence is as old as the oldest vote that the majority needs.
  std::sort(votes.begin(), votes.end(), std::greater<>());
  return votes[majority - 1];
}

}  // namespace coltsfoottide::core
