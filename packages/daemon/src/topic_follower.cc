#include "topic_follower.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace coltsfoottide::daemon {

namespace {

// Bounds how long a connection that has gone silent hides a change: half of
// the time in which a change has to be in force.
constexpr core::Duration kWait = std::chrono::milliseconds(700);
constexpr std::chrono::milliseconds kFirstRetry{100};
// Every call is priced and the store may be out for long.
constexpr std::chrono::milliseconds kLastRetry{800};

}  // namespace

TopicFollower::TopicFollower(platform::StoreClient& store, std::string topic, Events events)
    : store_(store), topic_(std::move(topic)), events_(std::move(events)) {
  retry_.setSingleShot(true);
  QObject::connect(&retry_, &QTimer::timeout, &retry_, [this] {
    if (have_snapshot_) {
      ReadOn();
    } else {
      ReadNewest();
    }
  });
}

void TopicFollower::Begin() { ReadNewest(); }

void TopicFollower::ReadNewest() {
  store_.ReadNewest(topic_, [this](const std::optional<platform::StoreClient::Batch>& batch, bool) {
    if (!batch) return OnFailure();
    OnAnswer();
    have_snapshot_ = true;
    next_ = batch->end;
    events_.on_snapshot(*batch);
    ReadOn();
  });
}

void TopicFollower::ReadOn() {
  store_.ReadFrom(topic_, next_, kWait,
                  [this](const std::optional<platform::StoreClient::Batch>& batch, bool expired) {
                    if (expired) {
                      have_snapshot_ = false;
                      return ReadNewest();
                    }
                    if (!batch) return OnFailure();
                    OnAnswer();
                    next_ = batch->end;
                    events_.on_records(*batch);
                    ReadOn();
                  });
}

void TopicFollower::OnAnswer() {
  failures_ = 0;
  if (!std::exchange(reachable_, true)) events_.on_reachable(true);
}

void TopicFollower::OnFailure() {
  constexpr int kMostDoublings = 3;
  if (std::exchange(reachable_, false)) events_.on_reachable(false);
  const int doublings = std::min(failures_++, kMostDoublings);
  retry_.start(std::min(kFirstRetry * (1 << doublings), kLastRetry));
}

}  // namespace coltsfoottide::daemon
