#pragma once

#include <QSocketNotifier>
#include <functional>
#include <map>
#include <memory>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::standin {

// A timer queue that runs actions on the current Qt thread. It uses a timerfd,
// because Qt's timers round to 1 ms, which is 2% of a task of 50 ms and would
// be measured as overhead of the dispatcher.
class TimerQueue {
 public:
  TimerQueue();
  ~TimerQueue();
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  // Runs the action after a delay. Due actions run in the order of their times;
  // actions pending when the object is destroyed do not run.
  void After(core::Duration delay, std::function<void()> action);

 private:
  void RunDue();
  // Sets the timer to the time of the first action.
  void Arm();

  int fd_;
  std::unique_ptr<QSocketNotifier> notifier_;
  std::multimap<core::TimePoint, std::function<void()>> actions_;
};

}  // namespace coltsfoottide::standin
