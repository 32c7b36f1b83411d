#include "coltsfoottide/core/config_state.h"

#include <algorithm>
#include <utility>

#include "config_key.h"

namespace coltsfoottide::core {
namespace {

// Older outcomes are dropped. A caller repeats a change within seconds, and the
// log receives 5,400 changes a day at most.
constexpr std::size_t kMaxOutcomes = 4096;

}  // namespace

bool ConfigState::Apply(std::uint64_t offset, const std::string& record) {
  if (offset != next_offset_) {
    return false;
  }
  ++next_offset_;
  wire::LogRecord parsed;
  if (!parsed.ParseFromString(record)) {
    return true;
  }
  switch (parsed.record_case()) {
    case wire::LogRecord::kChange:
      ApplyChange(offset, parsed.change());
      break;
    case wire::LogRecord::kRegisterEntry:
      ApplyRegister(offset, parsed.register_entry());
      break;
    case wire::LogRecord::kRemoveEntry:
      ApplyRemove(offset, parsed.remove_entry());
      break;
    case wire::LogRecord::kSnapshot:
      // A snapshot at this offset describes records that are applied already.
    case wire::LogRecord::RECORD_NOT_SET:
      break;
  }
  return true;
}

bool ConfigState::ReplaceIfNewer(const wire::ConfigStateData& data) {
  if (data.next_offset() <= next_offset_) {
    return false;
  }
  next_offset_ = data.next_offset();
  items_.clear();
  for (const auto& item : data.items()) {
    items_[item.key()] = item;
  }
  roster_.assign(data.roster().begin(), data.roster().end());
  roster_version_ = data.roster_version();
  outcomes_.clear();
  outcome_index_.clear();
  for (const auto& outcome : data.outcomes()) {
    AddOutcome(outcome);
  }
  return true;
}

wire::ConfigStateData ConfigState::ToData() const {
  wire::ConfigStateData data;
  data.set_next_offset(next_offset_);
  for (const auto& [key, item] : items_) {
    *data.add_items() = item;
  }
  for (const auto& item : roster_) {
    *data.add_roster() = item;
  }
  data.set_roster_version(roster_version_);
  for (const auto& outcome : outcomes_) {
    *data.add_outcomes() = outcome;
  }
  return data;
}

bool ConfigState::IsDataCentreOut(const std::string& name) const {
  const auto it = items_.find("data-centre/" + name);
  return it != items_.end() && it->second.data_centre().out();
}

std::optional<api::QuotaConfig> ConfigState::Quota(const std::string& team) const {
  const auto it = items_.find("quota/" + team);
  return it == items_.end() ? std::nullopt : std::optional(it->second.quota());
}

std::optional<api::ServiceConfig> ConfigState::Service(const std::string& name) const {
  const auto it = items_.find("service/" + name);
  return it == items_.end() ? std::nullopt : std::optional(it->second.service());
}

std::uint64_t ConfigState::Version(const std::string& key) const {
  const auto it = items_.find(key);
  return it == items_.end() ? 0 : it->second.version();
}

std::optional<wire::ChangeOutcome> ConfigState::Outcome(const std::string& change_id) const {
  const auto it = outcome_index_.find(change_id);
  return it == outcome_index_.end() ? std::nullopt : std::optional(it->second);
}

void ConfigState::ApplyChange(std::uint64_t offset, const wire::ChangeRecord& change) {
  const std::string key = ConfigKey(change.value());
  if (key.empty() || key != change.key() || outcome_index_.contains(change.change_id())) {
    return;
  }
  wire::ChangeOutcome outcome;
  outcome.set_change_id(change.change_id());
  outcome.set_offset(offset);
  const auto it = items_.find(key);
  const std::uint64_t version = it == items_.end() ? 0 : it->second.version();
  // Expected version 0 means that the key must not exist. Existence is checked
  // separately, because a key set by the record at offset 0 also has version 0.
  const bool must_be_new = change.expected_version() == 0;
  const bool conflict = change.check_version() && (change.expected_version() != version ||
                                                   (must_be_new && it != items_.end()));
  if (!conflict) {
    api::ConfigItem item = change.value();
    item.set_key(key);
    item.set_version(offset);
    items_[key] = std::move(item);
  }
  outcome.set_won(!conflict);
  outcome.set_current_version(conflict ? version : offset);
  AddOutcome(std::move(outcome));
}

void ConfigState::ApplyRegister(std::uint64_t offset, const wire::RegisterEntryRecord& entry) {
  const auto it = std::find_if(roster_.begin(), roster_.end(), [&](const api::RosterItem& item) {
    return item.endpoint() == entry.endpoint();
  });
  if (it != roster_.end() && it->incarnation() == entry.incarnation()) {
    return;
  }
  const std::uint64_t seat = it != roster_.end() ? it->seat() : offset;
  api::RosterItem& item = it != roster_.end() ? *it : roster_.emplace_back();
  item.set_seat(seat);
  item.set_endpoint(entry.endpoint());
  item.set_incarnation(entry.incarnation());
  item.set_data_centre(entry.data_centre());
  item.set_version(offset);
  roster_version_ = offset;
}

void ConfigState::ApplyRemove(std::uint64_t offset, const wire::RemoveEntryRecord& entry) {
  if (outcome_index_.contains(entry.change_id())) {
    return;
  }
  const bool by_operator = !entry.change_id().empty();
  if (!by_operator && entry.roster_version() != roster_version_) {
    return;
  }
  const auto it = std::find_if(roster_.begin(), roster_.end(), [&](const api::RosterItem& item) {
    return item.endpoint() == entry.endpoint();
  });
  // An operator may name an endpoint without its incarnation.
  const bool any_incarnation = by_operator && entry.incarnation() == 0;
  const bool other_incarnation =
      it != roster_.end() && !any_incarnation && it->incarnation() != entry.incarnation();
  wire::ChangeOutcome outcome;
  outcome.set_change_id(entry.change_id());
  outcome.set_offset(offset);
  outcome.set_won(!other_incarnation);
  outcome.set_current_version(other_incarnation ? it->version() : offset);
  if (it != roster_.end() && !other_incarnation) {
    roster_.erase(it);
    roster_version_ = offset;
  }
  if (by_operator) {
    AddOutcome(std::move(outcome));
  }
}

void ConfigState::AddOutcome(wire::ChangeOutcome outcome) {
  if (outcome.change_id().empty()) {
    return;
  }
  outcome_index_[outcome.change_id()] = outcome;
  outcomes_.push_back(std::move(outcome));
  if (outcomes_.size() > kMaxOutcomes) {
    outcome_index_.erase(outcomes_.front().change_id());
    outcomes_.pop_front();
  }
}

}  // namespace coltsfoottide::core
