#pragma once

#include <QJsonObject>
#include <optional>
#include <string>

namespace coltsfoottide::console {

// One parsed line of a process log.
struct LogRecord {
  // UTC, ISO 8601 with milliseconds, so that text order is time order.
  std::string time;
  // "entry IP:PORT" or "agent IP:PORT".
  std::string process;
  std::string event;
  // All fields of the line, including the ones above.
  QJsonObject fields;

  // A field's value as text; empty if the field is absent.
  std::string Field(const char* name) const;
};

// Parses a line; a prefix before the JSON object, as log collectors add it, is
// skipped. Returns nothing if the line is not a log line of a process.
std::optional<LogRecord> ParseLogLine(const std::string& line);

}  // namespace coltsfoottide::console
