#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/configuration.h"
#include "coltsfoottide/direct/operator_record.h"

namespace coltsfoottide::direct {

// A process's view of the operator's records. The view never goes back: an
// older configuration, a snapshot older than the view, and a repeated record
// change nothing.
class OperatorView {
 public:
  // Each of these returns whether the view has changed. `next_offset` is the
  // offset after the last record that the argument covers. `complete_at`: when the
  // store certainly held no further record; a late answer says nothing of the time
  // at which it is read.
  bool OnSnapshot(const std::vector<OperatorRecord>& records, std::uint64_t next_offset,
                  core::TimePoint complete_at);
  bool OnRecords(const std::vector<OperatorRecord>& records, std::uint64_t next_offset,
                 core::TimePoint complete_at);
  // Merges the view of another entry, which covers the records before
  // `next_offset`. It confirms nothing, since the other entry may itself be cut
  // off from the store.
  bool OnPeerView(const Configuration& configuration, const std::set<std::string>& evacuated,
                  std::uint64_t next_offset);

  // Null before the first configuration.
  std::shared_ptr<const Configuration> configuration() const { return configuration_; }
  const std::set<std::string>& evacuated() const { return evacuated_; }
  // Offset after the last known record.
  std::uint64_t next_offset() const { return next_offset_; }
  // When the view was last known to be complete, by the store.
  core::TimePoint confirmed_at() const { return confirmed_at_; }

 private:
  bool ReplaceIfNewer(const Configuration& configuration);
  void Confirm(core::TimePoint complete_at);

  std::shared_ptr<const Configuration> configuration_;
  std::set<std::string> evacuated_;
  std::uint64_t next_offset_ = 0;
  core::TimePoint confirmed_at_;
};

}  // namespace coltsfoottide::direct
