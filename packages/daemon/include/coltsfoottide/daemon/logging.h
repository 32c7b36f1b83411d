#pragma once

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace coltsfoottide::daemon {

// Writes one JSON object per line to standard output: time (UTC, ISO 8601 with
// milliseconds), level, process, event and the given fields. Never blocks on
// standard output: lines that it cannot take at once, lines over 4000 bytes and
// lines over the budget per second are dropped and counted in a later line.
// Thread-safe.
class Logger {
 public:
  using Field = std::pair<std::string_view, std::string>;

  virtual ~Logger() = default;
  virtual void Debug(std::string_view event, std::initializer_list<Field> fields) = 0;
  virtual void Info(std::string_view event, std::initializer_list<Field> fields) = 0;
  virtual void Warn(std::string_view event, std::initializer_list<Field> fields) = 0;
  virtual void Error(std::string_view event, std::initializer_list<Field> fields) = 0;
};

// Makes a logger over spdlog. `level` is "debug", "info", "warn" or "error";
// `process` is the role and endpoint, which every line contains.
std::unique_ptr<Logger> MakeJsonLogger(const std::string& level, const std::string& process);

}  // namespace coltsfoottide::daemon
