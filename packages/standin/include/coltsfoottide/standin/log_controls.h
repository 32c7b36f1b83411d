#pragma once

#include <QJsonObject>
#include <optional>
#include <string>

namespace coltsfoottide::standin {

enum class Outage {
  kNone,
  // Every log call (read or append) is answered with status 503.
  kError,
  // No log call is answered.
  kHang,
  // The connection of every log call is closed without an answer.
  kDrop,
};

// Settings and fault injection switches of the stand-in log. As JSON:
// {"outage":"none|error|hang|drop","slow_ms":0,"sync_ms":5,"lose_replies":0,
//  "refuse_appends":0}; fields that are absent keep their value.
struct LogControls {
  Outage outage = Outage::kNone;
  // Milliseconds added to every read and append.
  int slow_ms = 0;
  // Milliseconds of one synced write; appends are written one at a time.
  int sync_ms = 5;
  // Number of further appends that are stored but get no reply.
  int lose_replies = 0;
  // Number of further appends that get status 503 and are not stored.
  int refuse_appends = 0;
};

// Sets the fields given in `json`; on an error returns it and changes nothing.
std::optional<std::string> ApplyControls(const std::string& json, LogControls* controls);

QJsonObject ToJson(const LogControls& controls);

}  // namespace coltsfoottide::standin
