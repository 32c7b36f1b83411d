#include "answer_store.h"

#include <algorithm>
#include <utility>

namespace coltsfoottide::core {
namespace {

// Bytes counted for each answer in addition to its message, so that the number
// of small answers is bounded as well.
constexpr std::size_t kEntryOverhead = 512;

}  // namespace

std::vector<std::uint64_t> AnswerStore::Add(std::uint64_t sequence, Entry entry) {
  std::vector<std::uint64_t> dropped;
  const std::size_t size = entry.answer.ByteSizeLong() + kEntryOverhead;
  while (!entries_.empty() && bytes_ + size > max_bytes_) {
    dropped.push_back(Drop(EvictionCandidate()));
  }
  unacknowledged_.push_back(sequence);
  entries_[sequence] =
      StoredAnswer{std::move(entry), size, false, std::prev(unacknowledged_.end())};
  bytes_ += size;
  return dropped;
}

const AnswerStore::Entry* AnswerStore::Find(std::uint64_t sequence) const {
  const auto it = entries_.find(sequence);
  return it == entries_.end() ? nullptr : &it->second.entry;
}

void AnswerStore::Acknowledge(std::uint64_t sequence) {
  const auto it = entries_.find(sequence);
  if (it == entries_.end() || it->second.acknowledged) {
    return;
  }
  acknowledged_.splice(acknowledged_.end(), unacknowledged_, it->second.position);
  it->second.acknowledged = true;
}

std::vector<std::uint64_t> AnswerStore::Expire(Duration timeout, TimePoint now) {
  std::vector<std::uint64_t> dropped;
  for (const auto* list : {&unacknowledged_, &acknowledged_}) {
    while (!list->empty() && OldestEndOf(*list) + timeout <= now) {
      dropped.push_back(Drop(list->front()));
    }
  }
  return dropped;
}

TimePoint AnswerStore::OldestEnd() const {
  return std::min(OldestEndOf(unacknowledged_), OldestEndOf(acknowledged_));
}

TimePoint AnswerStore::OldestEndOf(const std::list<std::uint64_t>& list) const {
  return list.empty() ? TimePoint::max() : entries_.at(list.front()).entry.ended;
}

std::list<std::uint64_t>& AnswerStore::ListOf(const StoredAnswer& stored) {
  return stored.acknowledged ? acknowledged_ : unacknowledged_;
}

std::uint64_t AnswerStore::EvictionCandidate() const {
  return acknowledged_.empty() ? unacknowledged_.front() : acknowledged_.front();
}

std::uint64_t AnswerStore::Drop(std::uint64_t sequence) {
  const auto it = entries_.find(sequence);
  bytes_ -= it->second.bytes;
  ListOf(it->second).erase(it->second.position);
  entries_.erase(it);
  return sequence;
}

}  // namespace coltsfoottide::core
