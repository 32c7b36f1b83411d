#include "coltsfoottide/standin/log_controls.h"

#include <QStringList>

#include "coltsfoottide/standin/field_reader.h"

namespace coltsfoottide::standin {
namespace {

constexpr int kMaxDelayMs = 600'000;
constexpr int kMaxCount = 1'000'000'000;

QStringList OutageNames() { return {"none", "error", "hang", "drop"}; }

}  // namespace

std::optional<std::string> ApplyControls(const std::string& json, LogControls* controls) {
  LogControls changed = *controls;
  int outage = static_cast<int>(changed.outage);
  FieldReader reader(json);
  reader.ReadChoice("outage", OutageNames(), &outage);
  reader.ReadInteger("slow_ms", 0, kMaxDelayMs, &changed.slow_ms);
  reader.ReadInteger("sync_ms", 0, kMaxDelayMs, &changed.sync_ms);
  reader.ReadInteger("lose_replies", 0, kMaxCount, &changed.lose_replies);
  reader.ReadInteger("refuse_appends", 0, kMaxCount, &changed.refuse_appends);
  if (auto error = reader.Finish()) {
    return error;
  }
  changed.outage = static_cast<Outage>(outage);
  *controls = changed;
  return std::nullopt;
}

QJsonObject ToJson(const LogControls& controls) {
  return {{"outage", OutageNames().at(static_cast<int>(controls.outage))},
          {"slow_ms", controls.slow_ms},
          {"sync_ms", controls.sync_ms},
          {"lose_replies", controls.lose_replies},
          {"refuse_appends", controls.refuse_appends}};
}

}  // namespace coltsfoottide::standin
