#pragma once

#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/platform/store_client.h"

namespace coltsfoottide::daemon {

// Follows one topic of the platform's store: reads the newest record of each
// key, then long-polls for further records. Starts over when the store no longer
// has the next record.
class TopicFollower {
 public:
  struct Events {
    // The newest record of every key. `complete_at`: when the store certainly held
    // no further record.
    std::function<void(const platform::StoreClient::Batch&, core::TimePoint complete_at)>
        on_snapshot;
    std::function<void(const platform::StoreClient::Batch&, core::TimePoint complete_at)>
        on_records;
    // The store has answered with an earlier state than it did before.
    std::function<void(std::uint64_t end, std::uint64_t expected)> on_outdated;
    // The store has begun or ceased to answer.
    std::function<void(bool reachable)> on_reachable;
  };

  TopicFollower(platform::StoreClient& store, std::string topic, Events events);

  void Begin();
  bool reachable() const { return reachable_; }

 private:
  void ReadNewest();
  void ReadNext();
  // Handles the answer to a read that was sent at `sent`.
  void OnRead(const platform::StoreClient::Batch& batch, core::TimePoint sent);
  void OnFailure();
  void OnSuccess();

  platform::StoreClient& store_;
  std::string topic_;
  Events events_;
  QTimer retry_;
  // Never falls.
  std::uint64_t next_offset_ = 0;
  bool have_snapshot_ = false;
  bool reachable_ = false;
  int failures_ = 0;
};

}  // namespace coltsfoottide::daemon
