#include "answer_store.h"

#include <algorithm>
#include <utility>

namespace coltsfoottide::core {
namespace {

// Counted for each answer besides its message, so that many small answers are
// bounded too.
constexpr std::size_t kEntryOverhead = 512;

}  // namespace

std::vector<std::uint64_t> AnswerStore::Add(std::uint64_t sequence, Entry entry) {
  std::vector<std::uint64_t> dropped;
  const std::size_t size = entry.answer.ByteSizeLong() + kEntryOverhead;
  while (!entries_.empty() && bytes_ + size > max_bytes_) {
    dropped.push_back(Drop(FirstToGo()));
  }
  waiting_.push_back(sequence);
  entries_[sequence] = Slot{std::move(entry), size, false, std::prev(waiting_.end())};
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
  acknowledged_.splice(acknowledged_.end(), waiting_, it->second.place);
  it->second.acknowledged = true;
}

std::vector<std::uint64_t> AnswerStore::Expire(Duration timeout, TimePoint now) {
  std::vector<std::uint64_t> dropped;
  for (const auto* list : {&waiting_, &acknowledged_}) {
    while (!list->empty() && EndOf(*list) + timeout <= now) {
      dropped.push_back(Drop(list->front()));
    }
  }
  return dropped;
}

TimePoint AnswerStore::OldestEnd() const { return std::min(EndOf(waiting_), EndOf(acknowledged_)); }

TimePoint AnswerStore::EndOf(const std::list<std::uint64_t>& list) const {
  return list.empty() ? TimePoint::max() : entries_.at(list.front()).entry.ended;
}

std::list<std::uint64_t>& AnswerStore::ListOf(const Slot& slot) {
  return slot.acknowledged ? acknowledged_ : waiting_;
}

std::uint64_t AnswerStore::FirstToGo() const {
  return acknowledged_.empty() ? waiting_.front() : acknowledged_.front();
}

std::uint64_t AnswerStore::Drop(std::uint64_t sequence) {
  const auto it = entries_.find(sequence);
  bytes_ -= it->second.bytes;
  ListOf(it->second).erase(it->second.place);
  entries_.erase(it);
  return sequence;
}

}  // namespace coltsfoottide::core
