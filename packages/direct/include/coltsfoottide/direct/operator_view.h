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

// What a process knows of the operator's records. It never goes back: an
// older configuration, a snapshot from before what is known, and a repeated
// record change nothing.
class OperatorView {
 public:
  // Each of these returns whether anything has changed. `end` is the position
  // after the records that are covered.
  bool OnSnapshot(const std::vector<OperatorRecord>& records, std::uint64_t end,
                  core::TimePoint now);
  bool OnRecords(const std::vector<OperatorRecord>& records, std::uint64_t end,
                 core::TimePoint now);
  // From another entry, whose view covers the records up to `end`.
  bool OnPeerView(const Configuration& configuration, const std::set<std::string>& evacuated,
                  std::uint64_t end, core::TimePoint now);

  // Null until one is known.
  std::shared_ptr<const Configuration> configuration() const { return configuration_; }
  const std::set<std::string>& evacuated() const { return evacuated_; }
  // Position after the records known.
  std::uint64_t end() const { return end_; }
  // When the source last confirmed the view.
  core::TimePoint confirmed() const { return confirmed_; }

 private:
  bool TakeConfiguration(const Configuration& configuration);

  std::shared_ptr<const Configuration> configuration_;
  std::set<std::string> evacuated_;
  std::uint64_t end_ = 0;
  core::TimePoint confirmed_;
};

}  // namespace coltsfoottide::direct
