#include "coltsfoottide/direct/operator_view.h"

#include <utility>

namespace coltsfoottide::direct {

bool OperatorView::TakeConfiguration(const Configuration& configuration) {
  if (configuration_ && configuration.version <= configuration_->version) return false;
  configuration_ = std::make_shared<const Configuration>(configuration);
  return true;
}

bool OperatorView::OnSnapshot(const std::vector<OperatorRecord>& records, std::uint64_t end,
                              core::TimePoint now) {
  // A read may be seconds behind.
  if (end < end_) return false;
  bool changed = false;
  std::set<std::string> evacuated;
  for (const OperatorRecord& it : records) {
    if (it.configuration) {
      changed = TakeConfiguration(*it.configuration) || changed;
    } else if (it.present) {
      evacuated.insert(it.evacuated);
    }
  }
  changed = changed || evacuated != evacuated_;
  evacuated_ = std::move(evacuated);
  end_ = end;
  confirmed_ = now;
  return changed;
}

bool OperatorView::OnRecords(const std::vector<OperatorRecord>& records, std::uint64_t end,
                             core::TimePoint now) {
  bool changed = false;
  for (const OperatorRecord& it : records) {
    if (it.configuration) {
      changed = TakeConfiguration(*it.configuration) || changed;
      continue;
    }
    if (it.offset < end_) continue;
    const bool differs =
        it.present ? evacuated_.insert(it.evacuated).second : evacuated_.erase(it.evacuated) > 0;
    changed = changed || differs;
  }
  if (end >= end_) {
    end_ = end;
    confirmed_ = now;
  }
  return changed;
}

bool OperatorView::OnPeerView(const Configuration& configuration,
                              const std::set<std::string>& evacuated, std::uint64_t end,
                              core::TimePoint now) {
  bool changed = TakeConfiguration(configuration);
  if (end <= end_) return changed;
  changed = changed || evacuated != evacuated_;
  evacuated_ = evacuated;
  end_ = end;
  confirmed_ = now;
  return changed;
}

}  // namespace coltsfoottide::direct
