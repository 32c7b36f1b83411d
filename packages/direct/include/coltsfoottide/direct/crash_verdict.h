#pragma once

#include "coltsfoottide/direct/task_id.h"

namespace coltsfoottide::direct {

// A task that must not be started again because backend servers crash under it.
struct CrashVerdict {
  TaskId task;
  // Whether two backend servers have certainly crashed while they ran the task, and
  // it is the most likely cause. Otherwise the number of crashes is only too high.
  bool proven = false;
};

}  // namespace coltsfoottide::direct
