#include "session_table.h"

#include <algorithm>

namespace coltsfoottide::core {
namespace {

// Bounds the memory to about 9 MB at 4.5 KB a link. A worker is a candidate of
// about 64 coordinators, so the bound is rarely reached.
constexpr std::size_t kMaxLinks = 2048;
// Older sessions are kept so that a Resolve can still name them. A coordinator
// opens a new one when the worker becomes a candidate, and after a lost
// connection, a silent link, an unknown session or an unanswered Hello.
constexpr std::size_t kMaxSessionsPerLink = 8;

}  // namespace

std::uint64_t SessionTable::Hello(std::uint64_t incarnation, const std::string& endpoint,
                                  std::uint64_t nonce, TimePoint now) {
  CoordinatorLink& link = links_[incarnation];
  link.incarnation = incarnation;
  link.endpoint = endpoint;
  link.last_received = now;
  for (const CoordinatorLink::Session& session : link.sessions) {
    if (session.nonce == nonce) {
      return session.number;
    }
  }
  std::uint64_t number = random_();
  while (number == 0) {
    number = random_();
  }
  link.sessions.push_back({nonce, number});
  link.window = ReplayWindow();
  if (link.sessions.size() > kMaxSessionsPerLink) {
    link.sessions.pop_front();
  }
  return number;
}

CoordinatorLink* SessionTable::Find(std::uint64_t incarnation) {
  const auto it = links_.find(incarnation);
  return it == links_.end() ? nullptr : &it->second;
}

CoordinatorLink* SessionTable::FindCurrent(std::uint64_t incarnation, std::uint64_t session) {
  CoordinatorLink* link = Find(incarnation);
  return link != nullptr && link->sessions.back().number == session ? link : nullptr;
}

CoordinatorLink* SessionTable::FindAny(std::uint64_t incarnation, std::uint64_t session) {
  CoordinatorLink* link = Find(incarnation);
  const auto matches = [session](const auto& known) { return known.number == session; };
  return link != nullptr && std::ranges::any_of(link->sessions, matches) ? link : nullptr;
}

std::vector<std::uint64_t> SessionTable::InactiveSince(TimePoint limit) const {
  std::vector<std::uint64_t> found;
  for (const auto& [incarnation, link] : links_) {
    if (link.last_received <= limit) {
      found.push_back(incarnation);
    }
  }
  return found;
}

std::vector<std::uint64_t> SessionTable::OtherIncarnationsAt(const std::string& endpoint,
                                                             std::uint64_t incarnation) const {
  std::vector<std::uint64_t> found;
  for (const auto& [other, link] : links_) {
    if (other != incarnation && link.endpoint == endpoint) {
      found.push_back(other);
    }
  }
  return found;
}

std::vector<std::uint64_t> SessionTable::EvictionCandidates() const {
  if (links_.size() <= kMaxLinks) {
    return {};
  }
  const auto oldest = std::ranges::min_element(links_, [](const auto& a, const auto& b) {
    return a.second.last_received < b.second.last_received;
  });
  return {oldest->first};
}

}  // namespace coltsfoottide::core
