#pragma once

#include <map>
#include <set>
#include <string>

#include "coltsfoottide/core/directory.h"
#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// Ejects workers that fail nearly all their tasks while their service's other
// workers do not, and takes them back after a successful probation.
class OutlierDetector {
 public:
  // Updates the ejection and probation flags of the members; returns whether one
  // changed.
  bool Update(std::map<std::string, Directory::Member>& members, TimePoint now);

 private:
  struct Ejection {
    std::uint64_t incarnation = 0;
    TimePoint probation_at;
    // Time from the ejection or last failed probation to the next probation.
    Duration delay{};
    // Counters of the worker at the start of the probation.
    std::uint64_t starts = 0;
    std::uint64_t failures = 0;
  };
  using Members = std::map<std::string, Directory::Member>;

  void DropStaleEjections(const Members& members);
  bool UpdateProbations(Members& members, TimePoint now);
  bool EndProbationIfDecided(Ejection& ejection, Directory::Member& member, TimePoint now);
  bool EjectOutliers(const std::string& service, Members& members, TimePoint now);

  std::map<std::string, Ejection> ejections_;
  // Time of each recent reinstatement.
  std::map<std::string, TimePoint> reinstated_;
};

}  // namespace coltsfoottide::core
