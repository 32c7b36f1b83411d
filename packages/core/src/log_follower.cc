#include "log_follower.h"

#include <algorithm>

#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {
namespace {

// Beyond this the oldest buffered records are dropped, and a snapshot of a
// later state is needed.
constexpr std::size_t kMaxBufferBytes = 16 * 1024 * 1024;

}  // namespace

std::uint64_t LogFollower::NextRead() const {
  return buffering_ ? buffer_from_ + buffer_.size() : state_.next_offset();
}

FollowResult LogFollower::OnBatch(const LogBatch& batch, std::uint64_t known_next_at_start) {
  if (batch.next < known_next_at_start || batch.first > batch.next) {
    return FollowResult::kInconsistent;
  }
  known_next_ = std::max(known_next_, batch.next);
  first_retained_ = batch.first;
  if (batch.first > NextRead()) {
    StartBuffer(batch.first);
  }
  for (const auto& record : batch.records) {
    if (record.offset < NextRead()) {
      continue;
    }
    const bool in_order = buffering_ ? Buffer(record) : state_.Apply(record.offset, record.data);
    if (!in_order) {
      return FollowResult::kInconsistent;
    }
    ProcessSnapshot(record);
  }
  if (NextRead() < batch.next) {
    return FollowResult::kMore;
  }
  return buffering_ ? FollowResult::kWaitingForSnapshot : FollowResult::kReachedEnd;
}

void LogFollower::OnAppended(std::uint64_t offset, const std::string& record) {
  known_next_ = std::max(known_next_, offset + 1);
  if (!buffering_ && state_.Apply(offset, record)) {
    ProcessSnapshot({offset, record});
  }
}

void LogFollower::OnStateReplaced() {
  known_next_ = std::max(known_next_, state_.next_offset());
  if (buffering_ && state_.next_offset() >= buffer_from_) {
    ApplyBuffer();
  }
}

void LogFollower::ProcessSnapshot(const LogBatch::Record& record) {
  wire::LogRecord parsed;
  if (!parsed.ParseFromString(record.data) || !parsed.has_snapshot()) {
    return;
  }
  const wire::ConfigStateData& data = parsed.snapshot().state();
  // A snapshot describes only records before itself.
  if (data.next_offset() > record.offset) {
    return;
  }
  snapshot_next_ = std::max(snapshot_next_, data.next_offset());
  if (buffering_ && data.next_offset() >= buffer_from_) {
    state_.ReplaceIfNewer(data);
    ApplyBuffer();
  }
}

void LogFollower::StartBuffer(std::uint64_t from) {
  buffering_ = true;
  buffer_from_ = from;
  buffer_bytes_ = 0;
  buffer_.clear();
}

bool LogFollower::Buffer(const LogBatch::Record& record) {
  if (record.offset != NextRead()) {
    return false;
  }
  buffer_bytes_ += record.data.size();
  buffer_.push_back(record);
  while (buffer_bytes_ > kMaxBufferBytes) {
    buffer_bytes_ -= buffer_.front().data.size();
    buffer_.pop_front();
    ++buffer_from_;
  }
  return true;
}

void LogFollower::ApplyBuffer() {
  for (const auto& record : buffer_) {
    state_.Apply(record.offset, record.data);
  }
  buffering_ = false;
  buffer_.clear();
  buffer_bytes_ = 0;
}

}  // namespace coltsfoottide::core
