#include "coltsfoottide/console/log_record.h"

#include <QJsonDocument>
#include <QVariant>

namespace coltsfoottide::console {

std::string LogRecord::Field(const char* name) const {
  return fields.value(QLatin1String(name)).toVariant().toString().toStdString();
}

std::optional<LogRecord> ParseLogLine(const std::string& line) {
  const std::size_t begin = line.find('{');
  if (begin == std::string::npos) return std::nullopt;
  const QByteArray text = QByteArray::fromStdString(line.substr(begin));
  LogRecord record;
  record.fields = QJsonDocument::fromJson(text).object();
  record.time = record.Field("time");
  record.process = record.Field("process");
  record.event = record.Field("event");
  if (record.time.empty() || record.process.empty() || record.event.empty()) return std::nullopt;
  return record;
}

}  // namespace coltsfoottide::console
