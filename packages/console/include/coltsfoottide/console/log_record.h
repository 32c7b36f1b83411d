#pragma once

#include <QJsonObject>
#include <optional>
#include <string>

namespace coltsfoottide::console {

// One line that a process has written to its log.
struct LogRecord {
  // UTC, ISO 8601 with milliseconds, so that text order is time order.
  std::string time;
  // "entry IP:PORT" or "agent IP:PORT".
  std::string process;
  std::string event;
  // All fields of the line, with the ones above.
  QJsonObject fields;

  // A field's value as text; empty without it.
  std::string Field(const char* name) const;
};

// Reads a line; text before the JSON object, as collectors of logs add, is
// left out. Nothing for any other line.
std::optional<LogRecord> ParseLogLine(const std::string& line);

}  // namespace coltsfoottide::console
