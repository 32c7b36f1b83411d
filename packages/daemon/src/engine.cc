#include "coltsfoottide/daemon/engine.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "coltsfoottide/daemon/boot_clock.h"

namespace coltsfoottide::daemon {
namespace {

// Longest wait between two ticks, also when `next_wake` is later.
constexpr core::Duration kMaxSleep = std::chrono::milliseconds(200);

}  // namespace

Engine::Engine(Task tick, std::function<core::TimePoint()> next_wake)
    : tick_(std::move(tick)), next_wake_(std::move(next_wake)) {}

Engine::~Engine() { Stop(); }

void Engine::Start() {
  thread_ = std::thread([this] { Run(); });
}

void Engine::Post(Task task) {
  const std::lock_guard lock(mutex_);
  if (stopping_) {
    return;
  }
  work_.push_back(std::move(task));
  if (work_.size() == 1) {
    work_posted_.notify_one();
  }
}

void Engine::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    work_posted_.notify_one();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

std::vector<Engine::Task> Engine::TakeWork(core::TimePoint until) {
  std::unique_lock lock(mutex_);
  const core::Duration wait = std::clamp(until - BootNow(), core::Duration::zero(), kMaxSleep);
  work_posted_.wait_for(lock, wait, [this] { return stopping_ || !work_.empty(); });
  return std::exchange(work_, {});
}

void Engine::Run() {
  while (true) {
    const std::vector<Task> work = TakeWork(next_wake_());
    for (const Task& task : work) {
      task(BootNow());
    }
    tick_(BootNow());
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
  }
}

}  // namespace coltsfoottide::daemon
