#pragma once

#include <QJsonObject>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "coltsfoottide/http/server.h"
#include "coltsfoottide/standin/listen_address.h"
#include "coltsfoottide/standin/log_controls.h"
#include "coltsfoottide/standin/log_store.h"
#include "coltsfoottide/standin/timer_queue.h"

namespace coltsfoottide::standin {

// The HTTP interface of the stand-in log, on the current Qt thread:
//
//   POST /v1/append             body = record; reply {"offset":N}
//   GET  /v1/read?from=N&max=M  reply {"first":F,"next":X,"records":[...]}
//   POST /control               changes the switches, see LogControls
//   GET  /control               switches and counters
//   GET  /healthz               reply {"state":"serving"}
class LogService {
 public:
  LogService(Retention retention, LogControls controls);

  // Starts serving; returns the error, if any.
  std::optional<std::string> Listen(const ListenAddress& address);
  std::uint16_t port() const;
  void BeginStop();

 private:
  // An append that waits for its synced write.
  struct PendingAppend {
    std::uint64_t request_id = 0;
    std::string data;
  };

  void OnRequest(http::Request request);
  void OnControl(const http::Request& request);
  void OnLogCall(http::Request request);
  void Dispatch(http::Request request);
  void Read(const http::Request& request);
  void Append(http::Request request);
  void StartNextAppend();
  void FinishAppend();
  QJsonObject Report();

  LogStore store_;
  LogControls controls_;
  std::deque<PendingAppend> appends_;
  bool writing_ = false;
  std::uint64_t reads_ = 0;
  // Appends refused by the switch refuse_appends.
  std::uint64_t refused_ = 0;
  std::uint64_t replies_lost_ = 0;
  std::uint64_t outage_calls_ = 0;
  TimerQueue timer_queue_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace coltsfoottide::standin
