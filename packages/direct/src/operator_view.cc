#include "coltsfoottide/direct/operator_view.h"

#include <algorithm>
#include <utility>

namespace coltsfoottide::direct {

bool OperatorView::ReplaceIfNewer(const Configuration& configuration) {
  if (configuration_ && configuration.version <= configuration_->version) return false;
  configuration_ = std::make_shared<const Configuration>(configuration);
  return true;
}

void OperatorView::Confirm(core::TimePoint complete_at) {
  confirmed_at_ = std::max(confirmed_at_, complete_at);
}

bool OperatorView::OnSnapshot(const std::vector<OperatorRecord>& records, std::uint64_t next_offset,
                              core::TimePoint complete_at) {
  bool changed = false;
  std::set<std::string> evacuated;
  for (const OperatorRecord& it : records) {
    if (it.configuration) {
      changed = ReplaceIfNewer(*it.configuration) || changed;
    } else if (it.evacuation_active) {
      evacuated.insert(it.evacuated_data_centre);
    }
  }
  // The store may answer a read with a state that is seconds old.
  if (next_offset < next_offset_) return changed;
  changed = changed || evacuated != evacuated_;
  evacuated_ = std::move(evacuated);
  next_offset_ = next_offset;
  Confirm(complete_at);
  return changed;
}

bool OperatorView::OnRecords(const std::vector<OperatorRecord>& records, std::uint64_t next_offset,
                             core::TimePoint complete_at) {
  bool changed = false;
  for (const OperatorRecord& it : records) {
    if (it.configuration) {
      changed = ReplaceIfNewer(*it.configuration) || changed;
      continue;
    }
    if (it.offset < next_offset_) continue;
    const bool differs = it.evacuation_active ? evacuated_.insert(it.evacuated_data_centre).second
                                              : evacuated_.erase(it.evacuated_data_centre) > 0;
    changed = changed || differs;
  }
  if (next_offset >= next_offset_) {
    next_offset_ = next_offset;
    Confirm(complete_at);
  }
  return changed;
}

bool OperatorView::OnPeerView(const Configuration& configuration,
                              const std::set<std::string>& evacuated, std::uint64_t next_offset) {
  bool changed = ReplaceIfNewer(configuration);
  if (next_offset <= next_offset_) return changed;
  changed = changed || evacuated != evacuated_;
  evacuated_ = evacuated;
  next_offset_ = next_offset;
  return changed;
}

}  // namespace coltsfoottide::direct
