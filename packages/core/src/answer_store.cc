#include "answer_store.h"

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
  while (!order_.empty() && bytes_ + size > max_bytes_) {
    dropped.push_back(DropOldest());
  }
  order_.push_back(sequence);
  entries_[sequence] = Slot{std::move(entry), size, std::prev(order_.end())};
  bytes_ += size;
  return dropped;
}

const AnswerStore::Entry* AnswerStore::Find(std::uint64_t sequence) const {
  const auto it = entries_.find(sequence);
  return it == entries_.end() ? nullptr : &it->second.entry;
}

bool AnswerStore::Remove(std::uint64_t sequence) {
  const auto it = entries_.find(sequence);
  if (it == entries_.end()) {
    return false;
  }
  bytes_ -= it->second.bytes;
  order_.erase(it->second.place);
  entries_.erase(it);
  return true;
}

std::vector<std::uint64_t> AnswerStore::Expire(Duration timeout, TimePoint now) {
  std::vector<std::uint64_t> dropped;
  while (!order_.empty() && OldestEnd() + timeout <= now) {
    dropped.push_back(DropOldest());
  }
  return dropped;
}

TimePoint AnswerStore::OldestEnd() const {
  return order_.empty() ? TimePoint::max() : entries_.at(order_.front()).entry.ended;
}

std::uint64_t AnswerStore::DropOldest() {
  const std::uint64_t sequence = order_.front();
  Remove(sequence);
  return sequence;
}

}  // namespace coltsfoottide::core
