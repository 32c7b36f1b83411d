#include "coltsfoottide/standin/backend_controls.h"

#include <QStringList>

#include "coltsfoottide/standin/field_reader.h"

namespace coltsfoottide::standin {
namespace {

constexpr int kMaxStraggle = 10'000;
constexpr int kMaxSlots = 100'000;
constexpr int kMaxLeaseMs = 86'400'000;

QStringList HangNames() { return {"none", "tasks", "all"}; }

}  // namespace

std::optional<std::string> ApplyControls(const std::string& json, BackendControls* controls) {
  BackendControls changed = *controls;
  int hang = static_cast<int>(changed.hang);
  FieldReader reader(json);
  reader.ReadBoolean("fail", &changed.fail);
  reader.ReadInteger("straggle", 1, kMaxStraggle, &changed.straggle);
  reader.ReadChoice("hang", HangNames(), &hang);
  reader.ReadBoolean("drop", &changed.drop);
  reader.ReadBoolean("drop_before_start", &changed.drop_before_start);
  reader.ReadBoolean("leaving", &changed.leaving);
  reader.ReadInteger("lease_ms", -1, kMaxLeaseMs, &changed.lease_ms);
  reader.ReadInteger("slots", 0, kMaxSlots, &changed.slots);
  reader.ReadBoolean("die", &changed.die);
  if (auto error = reader.Finish()) {
    return error;
  }
  changed.hang = static_cast<Hang>(hang);
  *controls = changed;
  return std::nullopt;
}

QJsonObject ToJson(const BackendControls& controls) {
  return {{"fail", controls.fail},
          {"straggle", controls.straggle},
          {"hang", HangNames().at(static_cast<int>(controls.hang))},
          {"drop", controls.drop},
          {"drop_before_start", controls.drop_before_start},
          {"leaving", controls.leaving},
          {"lease_ms", controls.lease_ms},
          {"slots", controls.slots}};
}

}  // namespace coltsfoottide::standin
