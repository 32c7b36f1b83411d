#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/entry_address.h"

namespace coltsfoottide::direct {

// The entries that a process may connect to. An entry lists only those entries
// that it is connected to itself, so an address that nobody reaches disappears
// from all lists and is forgotten everywhere; a stale list cannot bring it back.
// Names that are not IPv4 addresses are ignored, and so are further ones from
// records and lists while some hundreds are known.
class EntryDirectory {
 public:
  // Adds an entry of the settings. It is never forgotten, because it may be the
  // only way back into the fleet. Returns whether it is new.
  bool AddConfigured(const std::string& name);

  // Adds an entry that a record in the store names. The record may be older than
  // the entry's machine, so it counts only for some seconds. Returns whether it
  // is new.
  bool AddHint(const std::string& name, core::TimePoint now);

  // A connection to the entry has opened and the entry has introduced itself.
  void OnConnected(const EntryAddress& entry, core::TimePoint now);
  // The last connection to the entry has closed; its list no longer counts.
  void OnDisconnected(const std::string& name, core::TimePoint now);

  // The connected entry `by` lists the entries that it is connected to, in place
  // of its earlier list. Returns the names that are new.
  std::vector<std::string> OnListed(const std::string& by, const std::vector<EntryAddress>& listed,
                                    core::TimePoint now);

  // Forgets the entries that are neither configured nor connected nor listed and
  // have not been for some seconds. Returns their names.
  std::vector<std::string> Forget(core::TimePoint now);

  // All known entries, by name.
  std::vector<EntryAddress> Known() const;
  // The entries that this process is connected to: the list for others.
  std::vector<EntryAddress> Connected() const;

  bool Contains(const std::string& name) const { return entries_.contains(name); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::string data_centre;
    bool configured = false;
    bool connected = false;
    // When the entry was last connected or listed, or a record named it.
    core::TimePoint last_evidence;
  };

  bool Add(const std::string& name, core::TimePoint now);
  bool HasRoomFor(const std::string& name) const;
  bool IsListed(const std::string& name) const;

  std::map<std::string, Entry> entries_;
  // The latest list of each connected entry.
  std::map<std::string, std::set<std::string>> lists_;
};

}  // namespace coltsfoottide::direct
