#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Decides which entries' records in the store this entry withdraws, because nobody
// has reached the entry for so long that its address is forgotten. A record that
// outlives its entry makes every starting entry wait for a connection to it. An
// entry that was only partitioned reads the removal of its record and announces
// itself again.
class StaleRecords {
 public:
  // The store has a record of the entry, or has none any more.
  void OnRecord(const std::string& entry, bool present);
  // The entry is neither connected nor listed by another one any more.
  void OnForgotten(const std::string& entry);
  // The entry has connected.
  void OnConnected(const std::string& entry) { stale_.erase(entry); }

  // Whether there is nothing to withdraw.
  bool empty() const { return stale_.empty(); }

  // Returns the entries whose records to withdraw now. `self` and `connected` are this
  // entry and those that it is connected to: the one that ranks highest for a record
  // withdraws it. Returns a record again while the store still has it.
  std::vector<std::string> TakeDue(const std::string& self,
                                   const std::vector<std::string>& connected, core::TimePoint now);

 private:
  std::set<std::string> recorded_;
  // Time of the next attempt to withdraw the record.
  std::map<std::string, core::TimePoint> stale_;
};

}  // namespace coltsfoottide::direct
