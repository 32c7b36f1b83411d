#pragma once

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/task_id.h"

namespace coltsfoottide::direct {

// A task that must not be started again because backend servers crash under it.
struct CrashVerdict {
  TaskId task;
  // Whether two backend servers have certainly crashed while they ran the task, and
  // no task of another job is as likely a cause. Otherwise its job may not be at fault.
  bool proven = false;
  // Longest time that the task had run at a certain crash.
  core::Duration ran_for{};
};

}  // namespace coltsfoottide::direct
