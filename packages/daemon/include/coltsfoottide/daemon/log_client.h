#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "coltsfoottide/core/log_port.h"

namespace coltsfoottide::http {
class Client;
struct ClientResponse;
}  // namespace coltsfoottide::http

namespace coltsfoottide::daemon {

// Called on the Qt thread when a log request has ended; nothing is passed if it
// failed.
struct LogClientCallbacks {
  std::function<void(std::uint64_t request, std::optional<std::uint64_t> offset)> on_append;
  std::function<void(std::uint64_t request, std::optional<core::LogBatch> batch)> on_read;
};

// HTTP client for the platform's log. Requests may be made on any thread; they
// run on the Qt thread.
class LogClient : public core::LogPort {
 public:
  // `url` is the base URL of the log service. Must be made on the Qt thread.
  LogClient(std::string url, LogClientCallbacks callbacks);
  ~LogClient() override;

  void Append(std::uint64_t request, const std::string& record) override;
  void Read(std::uint64_t request, std::uint64_t from, std::uint32_t max_records) override;

 private:
  std::string url_;
  LogClientCallbacks callbacks_;
  std::shared_ptr<http::Client> client_;
};

// Parses the reply to a read; returns nothing if it is not valid.
std::optional<core::LogBatch> ParseLogBatch(const std::string& json);

// Parses the reply to an append; returns the offset, or nothing if it is not
// valid.
std::optional<std::uint64_t> ParseAppendReply(const std::string& json);

}  // namespace coltsfoottide::daemon
