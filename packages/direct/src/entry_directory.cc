#include "coltsfoottide/direct/entry_directory.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "coltsfoottide/direct/ipv4_address.h"

namespace coltsfoottide::direct {

namespace {

// Longer than a restart, or a cut of some seconds, takes.
constexpr core::Duration kForgetDelay = std::chrono::seconds(10);
// Entries known at the same time, beside those that are configured or connected. Bounds the
// connection attempts that invalid records and lists cause, each of which takes a descriptor.
constexpr std::size_t kMaxEntries = 512;

}  // namespace

bool EntryDirectory::Add(const std::string& name, core::TimePoint now) {
  if (!IsIpv4Address(name)) return false;
  const auto [it, is_new] = entries_.try_emplace(name);
  it->second.last_evidence = std::max(it->second.last_evidence, now);
  return is_new;
}

bool EntryDirectory::AddConfigured(const std::string& name) {
  const bool is_new = Add(name, {});
  const auto it = entries_.find(name);
  if (it != entries_.end()) it->second.configured = true;
  return is_new;
}

bool EntryDirectory::AddHint(const std::string& name, core::TimePoint now) {
  return HasRoomFor(name) && Add(name, now);
}

bool EntryDirectory::HasRoomFor(const std::string& name) const {
  return entries_.size() < kMaxEntries || entries_.contains(name);
}

void EntryDirectory::OnConnected(const EntryAddress& entry, core::TimePoint now) {
  Add(entry.name, now);
  const auto it = entries_.find(entry.name);
  if (it == entries_.end()) return;
  it->second.connected = true;
  it->second.data_centre = entry.data_centre;
}

void EntryDirectory::OnDisconnected(const std::string& name, core::TimePoint now) {
  const auto it = entries_.find(name);
  if (it == entries_.end() || !it->second.connected) return;
  it->second.connected = false;
  it->second.last_evidence = now;
  const auto list = lists_.find(name);
  if (list == lists_.end()) return;
  for (const std::string& listed : list->second) Add(listed, now);
  lists_.erase(list);
}

std::vector<std::string> EntryDirectory::OnListed(const std::string& by,
                                                  const std::vector<EntryAddress>& listed,
                                                  core::TimePoint now) {
  std::vector<std::string> added;
  std::set<std::string> names;
  for (const EntryAddress& it : listed) {
    if (!HasRoomFor(it.name)) continue;
    if (Add(it.name, now)) added.push_back(it.name);
    const auto entry = entries_.find(it.name);
    if (entry == entries_.end()) continue;
    if (!entry->second.connected && !it.data_centre.empty()) {
      entry->second.data_centre = it.data_centre;
    }
    names.insert(it.name);
  }
  // Entries that are no longer listed are kept for the delay from now on.
  for (const std::string& it : std::exchange(lists_[by], std::move(names))) Add(it, now);
  return added;
}

bool EntryDirectory::IsListed(const std::string& name) const {
  return std::any_of(lists_.begin(), lists_.end(),
                     [&name](const auto& it) { return it.second.contains(name); });
}

std::vector<std::string> EntryDirectory::Forget(core::TimePoint now) {
  std::vector<std::string> forgotten;
  for (const auto& [name, entry] : entries_) {
    if (entry.configured || entry.connected || now - entry.last_evidence < kForgetDelay) continue;
    if (!IsListed(name)) forgotten.push_back(name);
  }
  for (const std::string& it : forgotten) entries_.erase(it);
  return forgotten;
}

std::vector<EntryAddress> EntryDirectory::Known() const {
  std::vector<EntryAddress> known;
  for (const auto& [name, entry] : entries_) known.push_back({name, entry.data_centre});
  return known;
}

std::vector<EntryAddress> EntryDirectory::Connected() const {
  std::vector<EntryAddress> connected;
  for (const auto& [name, entry] : entries_) {
    if (entry.connected) connected.push_back({name, entry.data_centre});
  }
  return connected;
}

}  // namespace coltsfoottide::direct
