#pragma once

#include <QCoreApplication>
#include <QEventLoop>
#include <chrono>
#include <functional>

namespace coltsfoottide::http {

// Makes the Qt application that timers and sockets need.
void EnsureApplication();

// Runs the event loop until `done` holds; false when it does not hold within
// a limit that only a hanging test reaches.
bool RunUntil(const std::function<bool()>& done);

// Handles what is pending and what that causes, for a short while. Only for
// checks that something does not happen.
void RunFor(std::chrono::milliseconds time);

}  // namespace coltsfoottide::http
