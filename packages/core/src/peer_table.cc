#include "peer_table.h"

#include <algorithm>

namespace coltsfoottide::core {
namespace {

// Number of send times kept. Statuses are sent every 250 to 500 ms and on
// changes; echoes of older ones would be past the validity of evidence.
constexpr std::size_t kMaxSentTimes = 64;
constexpr Duration kExpireAfter = std::chrono::minutes(1);

}  // namespace

void PeerTable::OnSent(TimePoint now) {
  sent_times_us_.push_back(now.time_since_epoch().count());
  if (sent_times_us_.size() > kMaxSentTimes) {
    sent_times_us_.pop_front();
  }
}

bool PeerTable::OnStatus(const std::string& from, std::uint64_t incarnation,
                         const wire::EntryStatus& status, TimePoint now) {
  Peer& peer = peers_[from];
  if (peer.incarnation == incarnation && status.sent_at_us() <= peer.status.sent_at_us()) {
    return false;
  }
  const std::uint64_t previous = peer.incarnation == incarnation ? peer.reported_next : 0;
  peer.incarnation = incarnation;
  peer.status = status;
  peer.last_heard = now;
  peer.reported_next = std::max(previous, status.next_offset());
  // An echo that this process has not sent belongs to an older incarnation.
  const std::int64_t echo = status.echo_sent_at_us();
  const bool sent_here =
      std::find(sent_times_us_.begin(), sent_times_us_.end(), echo) != sent_times_us_.end();
  peer.sent_after = sent_here ? std::optional(TimePoint(Duration(echo))) : std::nullopt;
  return true;
}

void PeerTable::Expire(const std::vector<api::RosterItem>& roster, TimePoint now) {
  std::erase_if(peers_, [&](const auto& it) {
    const bool rostered =
        std::any_of(roster.begin(), roster.end(),
                    [&](const api::RosterItem& item) { return item.endpoint() == it.first; });
    return !rostered && now - it.second.last_heard > kExpireAfter;
  });
}

bool PeerTable::ShouldResetLink(const std::string& endpoint, Duration limit, TimePoint now) {
  const auto it = peers_.find(endpoint);
  if (it == peers_.end()) {
    return false;
  }
  Peer& peer = it->second;
  const TimePoint last_proven = peer.sent_after.value_or(TimePoint{});
  if (now - std::max(last_proven, peer.last_reset) <= limit) {
    return false;
  }
  peer.last_reset = now;
  return true;
}

const PeerTable::Peer* PeerTable::Find(const std::string& endpoint) const {
  const auto it = peers_.find(endpoint);
  return it == peers_.end() ? nullptr : &it->second;
}

const PeerTable::Peer* PeerTable::Find(const std::string& endpoint,
                                       std::uint64_t incarnation) const {
  const Peer* peer = Find(endpoint);
  return peer != nullptr && peer->incarnation == incarnation ? peer : nullptr;
}

}  // namespace coltsfoottide::core
