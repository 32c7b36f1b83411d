#pragma once

#include "coltsfoottide/direct/task_id.h"

namespace coltsfoottide::direct {

// A task that must not be started again because backend servers crash under it.
struct CrashVerdict {
  TaskId task;
  // Whether two backend servers have certainly crashed while they ran the task, and
  // no task of another job is as likely a cause. Otherwise its job may not be at fault.
  bool proven = false;
};

}  // namespace coltsfoottide::direct
