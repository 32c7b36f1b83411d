#pragma once

#include <QJsonObject>
#include <optional>
#include <string>

namespace coltsfoottide::standin {

enum class Hang {
  kNone,
  // Tasks start and never end; health checks are still answered.
  kTasks,
  // Only /control and /starts are answered; tasks start and never end.
  kAll,
};

// Settings and fault injection switches of a stand-in backend server. As JSON:
// {"fail":false,"straggle":1,"hang":"none|tasks|all","drop":false,
//  "drop_before_start":false,"leaving":false,"lease_ms":-1,"slots":8,
//  "die":false}; fields that are absent keep their value.
struct BackendControls {
  // Every task runs to its end and is then answered with status 500.
  bool fail = false;
  // Factor on the run time of tasks that start from now on.
  int straggle = 1;
  Hang hang = Hang::kNone;
  // A task starts and runs to its end, but its connection is closed at the start.
  bool drop = false;
  // The connection is closed after the request is read; the task does not
  // start.
  bool drop_before_start = false;
  // GET /health reports the state "leaving". Tasks that arrive nevertheless are
  // run, so that the start record shows them.
  bool leaving = false;
  // Lease in milliseconds, reported by GET /health; -1 when there is none.
  int lease_ms = -1;
  // Largest number of concurrent tasks; further ones are refused with X-Not-Run.
  int slots = 8;
  // The process exits at once with status 9, without an answer.
  bool die = false;
};

// Sets the fields given in `json`; on an error returns it and changes nothing.
std::optional<std::string> ApplyControls(const std::string& json, BackendControls* controls);

QJsonObject ToJson(const BackendControls& controls);

}  // namespace coltsfoottide::standin
