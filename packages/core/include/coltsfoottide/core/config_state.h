#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// The configuration that results from applying the log's records in order, up to
// an offset. The result depends on nothing but the records, so processes at the
// same offset agree; the offset never decreases.
class ConfigState {
 public:
  // Applies the record at the offset; returns false and changes nothing unless
  // the offset is next_offset(). An unreadable record counts as applied.
  bool Apply(std::uint64_t offset, const std::string& record);

  // Replaces the whole state by `data` if that has a higher next offset;
  // returns whether it has.
  bool ReplaceIfNewer(const wire::ConfigStateData& data);

  wire::ConfigStateData ToData() const;

  // Offset of the first record that is not applied yet.
  std::uint64_t next_offset() const { return next_offset_; }
  // Whether the data centre is out of service, so that no task may start in it.
  bool IsDataCentreOut(const std::string& name) const;
  std::optional<api::QuotaConfig> Quota(const std::string& team) const;
  std::optional<api::ServiceConfig> Service(const std::string& name) const;
  // Version of a key ("quota/TEAM"), 0 if it was never set.
  std::uint64_t Version(const std::string& key) const;
  const std::map<std::string, api::ConfigItem>& items() const { return items_; }
  const std::vector<api::RosterItem>& roster() const { return roster_; }
  // Offset of the last record that has changed the roster.
  std::uint64_t roster_version() const { return roster_version_; }
  // The outcome of a change, if it is among the last 4096.
  std::optional<wire::ChangeOutcome> Outcome(const std::string& change_id) const;

 private:
  void ApplyChange(std::uint64_t offset, const wire::ChangeRecord& change);
  void ApplyRegister(std::uint64_t offset, const wire::RegisterEntryRecord& entry);
  void ApplyRemove(std::uint64_t offset, const wire::RemoveEntryRecord& entry);
  void AddOutcome(wire::ChangeOutcome outcome);

  std::uint64_t next_offset_ = 0;
  std::map<std::string, api::ConfigItem> items_;
  std::vector<api::RosterItem> roster_;
  std::uint64_t roster_version_ = 0;
  std::deque<wire::ChangeOutcome> outcomes_;
  std::unordered_map<std::string, wire::ChangeOutcome> outcome_index_;
};

}  // namespace coltsfoottide::core
