#include "topic_follower.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "coltsfoottide/daemon/boot_clock.h"

namespace coltsfoottide::daemon {

namespace {

// Limits the delay of a change when the connection has silently failed. With the
// 600 ms that the store client allows for the answer, a read takes 1.3 s at most,
// below the 2 s within which a change has to be in force.
constexpr core::Duration kLongPollTime = std::chrono::milliseconds(700);
constexpr std::chrono::milliseconds kMinRetryDelay{100};
// The delay grows to this, since every call is billed and the store may be
// unavailable for long.
constexpr std::chrono::milliseconds kMaxRetryDelay{800};

}  // namespace

TopicFollower::TopicFollower(platform::StoreClient& store, std::string topic, Events events)
    : store_(store), topic_(std::move(topic)), events_(std::move(events)) {
  retry_.setSingleShot(true);
  QObject::connect(&retry_, &QTimer::timeout, &retry_, [this] {
    if (have_snapshot_) {
      ReadNext();
    } else {
      ReadNewest();
    }
  });
}

void TopicFollower::Begin() { ReadNewest(); }

void TopicFollower::ReadNewest() {
  store_.ReadNewest(topic_, [this, sent = BootNow()](
                                const std::optional<platform::StoreClient::Batch>& batch, bool) {
    if (!batch) return OnFailure();
    OnSuccess();
    have_snapshot_ = true;
    if (batch->next < next_offset_) events_.on_outdated(batch->next, next_offset_);
    next_offset_ = std::max(next_offset_, batch->next);
    events_.on_snapshot(*batch, sent);
    ReadNext();
  });
}

void TopicFollower::ReadNext() {
  store_.ReadFrom(topic_, next_offset_, kLongPollTime,
                  [this, sent = BootNow()](const std::optional<platform::StoreClient::Batch>& batch,
                                           bool expired) {
                    if (expired) {
                      have_snapshot_ = false;
                      retry_.start(kMinRetryDelay);
                    } else if (batch) {
                      OnRead(*batch, sent);
                    } else {
                      OnFailure();
                    }
                  });
}

void TopicFollower::OnRead(const platform::StoreClient::Batch& batch, core::TimePoint sent) {
  OnSuccess();
  if (batch.end < next_offset_) {
    events_.on_outdated(batch.end, next_offset_);
    retry_.start(kMinRetryDelay);
    return;
  }
  next_offset_ = batch.next;
  // The store answers without a record only when it has waited for one.
  const core::Duration waited = batch.records.empty() ? kLongPollTime : core::Duration::zero();
  events_.on_records(batch, std::min(sent + waited, BootNow()));
  ReadNext();
}

void TopicFollower::OnSuccess() {
  failures_ = 0;
  if (!std::exchange(reachable_, true)) events_.on_reachable(true);
}

void TopicFollower::OnFailure() {
  constexpr int kMaxDoublings = 3;
  if (std::exchange(reachable_, false)) events_.on_reachable(false);
  const int doublings = std::min(failures_++, kMaxDoublings);
  retry_.start(std::min(kMinRetryDelay * (1 << doublings), kMaxRetryDelay));
}

}  // namespace coltsfoottide::daemon
