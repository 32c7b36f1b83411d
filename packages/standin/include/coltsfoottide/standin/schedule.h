#pragma once

#include <QSocketNotifier>
#include <functional>
#include <map>
#include <memory>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::standin {

// Runs actions at points in time on the current Qt thread. It uses a timer
// file descriptor, because Qt's timers round to 1 ms, which is 2% of a task of
// 50 ms and would count as the dispatcher's time.
class Schedule {
 public:
  Schedule();
  ~Schedule();
  Schedule(const Schedule&) = delete;
  Schedule& operator=(const Schedule&) = delete;

  // Runs the action after a delay, in the order of the times; actions that
  // are left at the end of the schedule do not run.
  void After(core::Duration delay, std::function<void()> action);

 private:
  void RunDue();
  void Arm();

  int fd_;
  std::unique_ptr<QSocketNotifier> notifier_;
  std::multimap<core::TimePoint, std::function<void()>> actions_;
};

}  // namespace coltsfoottide::standin
