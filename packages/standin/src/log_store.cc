#include "coltsfoottide/standin/log_store.h"

#include <algorithm>
#include <utility>

namespace coltsfoottide::standin {
namespace {

constexpr std::size_t kMaxPageBytes = 1024 * 1024;

}  // namespace

LogStore::LogStore(Retention retention) : retention_(retention) {}

std::uint64_t LogStore::Append(std::string data, core::TimePoint now) {
  records_.push_back({next_, now, std::move(data)});
  Expire(now);
  return next_++;
}

LogPage LogStore::Read(std::uint64_t from, std::size_t max, core::TimePoint now) {
  Expire(now);
  LogPage page;
  page.first = records_.empty() ? next_ : records_.front().offset;
  page.next = next_;
  const std::uint64_t begin = std::max(from, page.first);
  std::size_t bytes = 0;
  for (std::uint64_t n = begin; n < next_ && page.records.size() < max; ++n) {
    const LogRecord& record = records_[n - page.first];
    bytes += record.data.size();
    if (bytes > kMaxPageBytes && !page.records.empty()) {
      break;
    }
    page.records.push_back(record);
  }
  return page;
}

void LogStore::Expire(core::TimePoint now) {
  while (!records_.empty() && (records_.size() > retention_.max_records ||
                               now - records_.front().appended_at > retention_.max_age)) {
    records_.pop_front();
  }
}

}  // namespace coltsfoottide::standin
