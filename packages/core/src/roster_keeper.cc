#include "roster_keeper.h"

#include <algorithm>

#include "coltsfoottide/core/config_state.h"
#include "coltsfoottide/core/stable_hash.h"
#include "majority.h"
#include "peer_table.h"
#include "record_appender.h"

namespace coltsfoottide::core {
namespace {

// Entries see the majority's agreement at about the same time; each waits a
// different fraction of this, so that usually only one appends the removal.
constexpr std::uint64_t kRemovalJitterUs = 1'000'000;
// Age up to which another entry's status counts, both for its report of silent
// entries and as a sign of contact.
constexpr Duration kStatusValidity = std::chrono::seconds(2);

}  // namespace

RosterKeeper::RosterKeeper(const EntryControlOptions& options, const ConfigState& config,
                           const PeerTable& peers, RecordAppender& appender)
    : options_(options), config_(config), peers_(peers), appender_(appender) {}

void RosterKeeper::Tick(std::optional<TimePoint> complete_read, TimePoint now) {
  UpdateObservations(now);
  if (request_ && now - appended_at_ > options_.append_search_timeout) {
    request_.reset();
    read_needed_after_ = now;
  }
  if (request_ || !complete_read || (read_needed_after_ && *complete_read <= *read_needed_after_)) {
    return;
  }
  read_needed_after_.reset();
  if (leaving_) {
    if (OnRoster()) {
      AppendRemoval(options_.endpoint, options_.incarnation, now);
    }
    return;
  }
  if (!OnRoster()) {
    if (MayRegister(now)) {
      wire::LogRecord record;
      auto* entry = record.mutable_register_entry();
      entry->set_endpoint(options_.endpoint);
      entry->set_incarnation(options_.incarnation);
      entry->set_data_centre(options_.data_centre);
      Append(record, now);
    }
    return;
  }
  if (!RosterAccepted()) {
    return;
  }
  for (const auto& item : config_.roster()) {
    if (RemovalDue(item, now)) {
      AppendRemoval(item.endpoint(), item.incarnation(), now);
      return;
    }
  }
}

bool RosterKeeper::OnAppendDone(std::uint64_t request, TimePoint now) {
  if (request_ != request) {
    return false;
  }
  request_.reset();
  read_needed_after_ = now;
  return true;
}

std::vector<std::string> RosterKeeper::SilentEndpoints(TimePoint now) const {
  std::vector<std::string> silent;
  for (const auto& item : config_.roster()) {
    if (IsSilent(item, now)) {
      silent.push_back(item.endpoint());
    }
  }
  return silent;
}

void RosterKeeper::UpdateObservations(TimePoint now) {
  std::map<std::string, TimePoint> on_roster_since;
  for (const auto& item : config_.roster()) {
    const auto it = first_seen_.find(item.endpoint());
    on_roster_since[item.endpoint()] = it == first_seen_.end() ? now : it->second;
  }
  first_seen_ = std::move(on_roster_since);
  std::erase_if(majority_reports_silent_since_,
                [&](const auto& it) { return !first_seen_.contains(it.first); });
  was_on_roster_ = was_on_roster_ || OnRoster();
}

bool RosterKeeper::OnRoster() const {
  return std::any_of(
      config_.roster().begin(), config_.roster().end(), [&](const api::RosterItem& item) {
        return item.endpoint() == options_.endpoint && item.incarnation() == options_.incarnation;
      });
}

// A removed entry registers again only while it is in contact with an entry on
// the roster; otherwise it would be removed and register again, over and over,
// while it is cut off from the others but not from the log.
bool RosterKeeper::MayRegister(TimePoint now) const {
  if (!was_on_roster_ || config_.roster().empty()) {
    return true;
  }
  return std::any_of(
      config_.roster().begin(), config_.roster().end(), [&](const api::RosterItem& item) {
        const PeerTable::Peer* peer = peers_.Find(item.endpoint());
        return peer != nullptr && peer->sent_after && now - *peer->sent_after <= kStatusValidity;
      });
}

bool RosterKeeper::IsSilent(const api::RosterItem& item, TimePoint now) const {
  if (item.endpoint() == options_.endpoint) {
    return false;
  }
  const auto it = first_seen_.find(item.endpoint());
  if (it == first_seen_.end()) {
    return false;
  }
  const PeerTable::Peer* peer = peers_.Find(item.endpoint());
  const TimePoint since = peer == nullptr ? it->second : std::max(peer->last_heard, it->second);
  return now - since >= options_.peer_removal_timeout;
}

// Whether a majority has applied the current roster. Two removals that a majority
// has not applied could leave a roster whose majority shares no entry with that
// of the roster before them.
bool RosterKeeper::RosterAccepted() const {
  const auto reported_next = [&](const api::RosterItem& item) { return ReportedNext(item); };
  const auto agrees = [&](const api::RosterItem& item) {
    return ReportedNext(item) > config_.roster_version();
  };
  return HasMajority(config_.roster(), agrees, reported_next);
}

std::uint64_t RosterKeeper::ReportedNext(const api::RosterItem& item) const {
  if (item.endpoint() == options_.endpoint) {
    return item.incarnation() == options_.incarnation ? config_.next_offset() : 0;
  }
  const PeerTable::Peer* peer = peers_.Find(item.endpoint(), item.incarnation());
  return peer == nullptr ? 0 : peer->reported_next;
}

bool RosterKeeper::MajorityReportsSilent(const api::RosterItem& target, TimePoint now) const {
  const auto agrees = [&](const api::RosterItem& item) {
    if (item.endpoint() == options_.endpoint) {
      return item.incarnation() == options_.incarnation;
    }
    const PeerTable::Peer* peer = peers_.Find(item.endpoint(), item.incarnation());
    if (peer == nullptr || now - peer->last_heard > kStatusValidity) {
      return false;
    }
    const auto& silent = peer->status.silent_entries();
    return std::find(silent.begin(), silent.end(), target.endpoint()) != silent.end();
  };
  const auto reported_next = [&](const api::RosterItem& item) { return ReportedNext(item); };
  return HasMajority(config_.roster(), agrees, reported_next);
}

bool RosterKeeper::RemovalDue(const api::RosterItem& item, TimePoint now) {
  if (!IsSilent(item, now) || !MajorityReportsSilent(item, now)) {
    majority_reports_silent_since_.erase(item.endpoint());
    return false;
  }
  const TimePoint since =
      majority_reports_silent_since_.try_emplace(item.endpoint(), now).first->second;
  const std::uint64_t hash = StableHash(options_.endpoint, StableHash(item.endpoint()));
  return now - since >= Duration(hash % kRemovalJitterUs);
}

void RosterKeeper::AppendRemoval(const std::string& endpoint, std::uint64_t incarnation,
                                 TimePoint now) {
  wire::LogRecord record;
  record.mutable_remove_entry()->set_endpoint(endpoint);
  record.mutable_remove_entry()->set_incarnation(incarnation);
  record.mutable_remove_entry()->set_roster_version(config_.roster_version());
  Append(record, now);
}

void RosterKeeper::Append(const wire::LogRecord& record, TimePoint now) {
  request_ = appender_.Append(record);
  appended_at_ = now;
}

}  // namespace coltsfoottide::core
