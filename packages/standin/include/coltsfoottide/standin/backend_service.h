#pragma once

#include <QJsonObject>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "coltsfoottide/http/server.h"
#include "coltsfoottide/standin/backend_controls.h"
#include "coltsfoottide/standin/listen_address.h"
#include "coltsfoottide/standin/start_record.h"
#include "coltsfoottide/standin/task_payload.h"
#include "coltsfoottide/standin/timer_queue.h"

namespace coltsfoottide::standin {

// The HTTP interface of a stand-in backend server, on the current Qt thread:
//
//   POST /run            runs a task, see ParseTaskPayload
//   GET  /health         reply {"state":"serving|leaving","slots":N,"lease_ms":N}
//   GET  /starts?from=N  reply {"count":N,"starts":[...]}, see StartRecord
//   POST /control        changes the switches, see BackendControls
//   GET  /control        switches and counters
class BackendService {
 public:
  explicit BackendService(BackendControls controls);

  // Appends the start record to a file unless the path is empty; call before
  // Listen. Returns whether the file could be opened.
  bool RecordTo(const std::string& path) { return record_.Open(path); }
  // Starts serving; returns the error, if any.
  std::optional<std::string> Listen(const ListenAddress& address);
  std::uint16_t port() const;

 private:
  void OnRequest(const http::Request& request);
  void OnControl(const http::Request& request);
  void Run(const http::Request& request);
  void Start(const http::Request& request);
  void Finish(std::uint64_t request_id, std::uint64_t number, const std::string& result);
  QJsonObject Health() const;
  QJsonObject Report() const;

  BackendControls controls_;
  StartRecord record_;
  int running_ = 0;
  // Tasks refused for lack of a free slot.
  std::uint64_t refused_ = 0;
  // Tasks whose connection was closed by the switches drop and drop_before_start.
  std::uint64_t dropped_ = 0;
  TimerQueue timer_queue_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace coltsfoottide::standin
