#pragma once

#include <QJsonArray>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <fstream>
#include <optional>
#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::standin {

// One start of a task at a backend server.
struct TaskStart {
  // The headers X-Start-Id, X-Task-Kind and X-Idempotent.
  std::string start_id;
  std::string kind;
  std::string idempotent;
  // The "echo" of the payload, by which a checker identifies the task.
  std::string echo;
  core::TimePoint started_at;
  std::optional<core::TimePoint> ended_at;
  // HTTP status of the reply; set with `ended_at`.
  int status = 0;
};

// Records every start at a backend server, including repeated ones with the same
// start id, in memory (the last 200,000) and as JSON lines in a file:
// {"event":"start","number":N,"id":...,"kind":...,"idempotent":...,"echo":...,
//  "at_us":T} and {"event":"end","number":N,"id":...,"status":200,"at_us":T}.
// Times are microseconds on CLOCK_BOOTTIME.
class StartRecord {
 public:
  // Appends to the file unless the path is empty; returns whether it could be
  // opened.
  bool Open(const std::string& path);

  // Records a start and returns its number, counted from 0. The line is flushed
  // before the call returns, so that it is not lost when the process crashes.
  std::uint64_t AddStart(TaskStart start);
  // Records the end of a start by its number; ignored if the start is no longer
  // in memory.
  void AddEnd(std::uint64_t number, int status, core::TimePoint now);

  // Returns the starts in memory whose number is at least `from`.
  QJsonArray ToJson(std::uint64_t from) const;
  // Number of starts so far.
  std::uint64_t count() const { return first_ + starts_.size(); }

 private:
  void Write(const QJsonObject& line);

  std::ofstream file_;
  // Number of the first start in memory.
  std::uint64_t first_ = 0;
  std::deque<TaskStart> starts_;
};

}  // namespace coltsfoottide::standin
