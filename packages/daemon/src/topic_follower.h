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
    // The newest record of every key.
    std::function<void(const platform::StoreClient::Batch&)> on_snapshot;
    std::function<void(const platform::StoreClient::Batch&)> on_records;
    // The store has begun or ceased to answer.
    std::function<void(bool reachable)> on_reachable;
  };

  TopicFollower(platform::StoreClient& store, std::string topic, Events events);

  void Begin();
  bool reachable() const { return reachable_; }

 private:
  void ReadNewest();
  void ReadNext();
  void OnFailure();
  void OnSuccess();

  platform::StoreClient& store_;
  std::string topic_;
  Events events_;
  QTimer retry_;
  std::uint64_t next_offset_ = 0;
  bool have_snapshot_ = false;
  bool reachable_ = false;
  int failures_ = 0;
};

}  // namespace coltsfoottide::daemon
